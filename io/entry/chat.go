package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"pimentoseam/core/blame"
	"pimentoseam/core/call"
	"pimentoseam/core/conf"
	"pimentoseam/core/fault"
	"pimentoseam/io/server"
)

const (
	bytesPerToken       = 4       // Bytes of the messages per token, to estimate the length of a prompt.
	defaultOutputTokens = 256     // The estimate of the output when the caller sets no limit.
	maxOutputTokens     = 1 << 20 // Maximum number of output tokens that a caller may request.
	prefixBytes         = 1024    // The length of the prefix that identifies a cached prompt.
	maxActiveRequests   = 2048    // Maximum number of requests in progress at one entry.
)

// chatBody holds the fields of a chat request that the entry uses.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

func parseChat(data []byte) (*chatBody, *fault.Error) {
	var b chatBody
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, invalidRequest("the body is not a chat request: " + err.Error())
	}
	if b.Model == "" {
		return nil, invalidRequest("model is missing")
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 || max(b.MaxTokens, b.MaxCompletionTokens) > maxOutputTokens {
		return nil, invalidRequest("the limit of output tokens is not between 0 and " + strconv.Itoa(maxOutputTokens))
	}
	return &b, nil
}

// outputTokens returns the caller's limit of output tokens, or an estimate if there is none.
func (b *chatBody) outputTokens() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	if b.MaxTokens > 0 {
		return b.MaxTokens
	}
	return defaultOutputTokens
}

// prefixHash returns the hash of the start of the messages, by which requests with the same prefix are sent to
// the same upstream and find it in the KV cache.
func (b *chatBody) prefixHash() string {
	start := b.Messages[:min(len(b.Messages), prefixBytes)]
	return strconv.FormatUint(xxhash.Sum64(start), 16)
}

// parts returns the messages as the parts of the prompt, the whole as one part if they are no list.
func (b *chatBody) parts() []blame.Part {
	var messages []json.RawMessage
	if err := json.Unmarshal(b.Messages, &messages); err != nil {
		messages = []json.RawMessage{b.Messages} // The engine rejects them.
	}
	parts := make([]call.Part, len(messages))
	for i, m := range messages {
		parts[i].ID = string(m)
	}
	return blame.Parts(parts)
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	id := newID()
	w.Header().Set("X-Request-Id", id)
	if fail := e.chat(w, r, id); fail != nil {
		e.refuse(w, fail, id)
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// refuse responds with an error and records it.
func (e *Entry) refuse(w http.ResponseWriter, fail *fault.Error, id string) {
	answerCounts.Add(string(fail.Kind), 1)
	e.events.Add("answer", id, "", fail.Error())
	e.log.Info("request", "request", id, "kind", fail.Kind, "text", fail.Message)
	server.WriteError(w, fail, id)
}

// chat serves one chat request; it returns an error that was not yet sent to the caller.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request, id string) *fault.Error {
	data, err := e.public.ReadBody(r)
	if err != nil {
		return asFault(err)
	}
	if v := e.view.Load(); v.revision > 0 {
		if _, fail := v.caller(r); fail != nil {
			return fail
		}
	}
	body, fail := parseChat(data)
	if fail != nil {
		return fail
	}
	q, fail := e.newRequest(r, body.Model, conf.Model)
	if fail != nil {
		return fail
	}
	if !e.admit() {
		return fault.Retry("too many requests in progress", unavailableRetryAfter)
	}
	defer e.activeRequests.Add(-1)
	q.id = id
	q.prefixHash = body.prefixHash()
	q.parts = body.parts()
	q.run.Method, q.run.Path, q.run.Type = http.MethodPost, "/v1/chat/completions", "application/json"
	q.path, q.run.Body = q.run.Path, data
	q.run.PromptTokens = len(body.Messages)/bytesPerToken + 1
	q.run.OutputTokens = body.outputTokens()
	return e.respond(w, q, body.Stream)
}

// asFault returns err as a *fault.Error, of kind Failed if it is of another type.
func asFault(err error) *fault.Error {
	if f, ok := err.(*fault.Error); ok {
		return f
	}
	return fault.New(fault.Failed, err.Error())
}

// admit counts a request as active, unless too many are in progress.
func (e *Entry) admit() bool {
	if e.activeRequests.Add(1) > maxActiveRequests {
		e.activeRequests.Add(-1)
		return false
	}
	return true
}

// respond relays the answer of q to the caller; it returns an error that was not yet sent to the caller.
func (e *Entry) respond(w http.ResponseWriter, q *request, isStreamed bool) *fault.Error {
	stream := e.public.Stream(w)
	defer stream.Close()
	q.ctx = stream.Context()
	if !isStreamed {
		return e.respondBuffered(w, q)
	}
	out := &eventSink{w: w, stream: stream}
	defer out.drop()
	q.sink = out
	fail := q.relay()
	if fail == nil {
		e.recordServed(q)
		return nil
	}
	if !out.hasDelivered() {
		return fail
	}
	answerCounts.Add("broken", 1)
	e.events.Add("answer", q.id, "", "broken: "+fail.Message)
	out.fail(fail, q.id)
	return nil
}

// respondBuffered collects the complete answer of q before it sends it to the caller.
func (e *Entry) respondBuffered(w http.ResponseWriter, q *request) *fault.Error {
	out := &bufferSink{isJSON: q.target.Kind == conf.Model}
	defer out.drop()
	q.sink = out
	if fail := q.relay(); fail != nil {
		return fail
	}
	if q.ctx.Err() != nil {
		return nil
	}
	out.send(w)
	e.recordServed(q)
	return nil
}

// recordServed counts and logs a complete answer, or counts the disconnection of the caller.
func (e *Entry) recordServed(q *request) {
	if q.ctx.Err() != nil {
		answerCounts.Add("gone", 1)
		e.events.Add("answer", q.id, "", "caller gone")
		return
	}
	answerCounts.Add("whole", 1)
	e.events.Add("answer", q.id, "", "whole")
	e.log.Info("request", "request", q.id, "caller", q.caller.Name, "target", q.target.Name,
		"kind", "whole", "attempts", q.attemptNum, "took", time.Since(q.start))
}

// model is one item of the list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// modelList is the response body that lists the models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	v := e.view.Load()
	if v.revision == 0 {
		e.refuse(w, fault.Retry("the entry has no configuration yet", unavailableRetryAfter), newID())
		return
	}
	c, fail := v.caller(r)
	if fail != nil {
		e.refuse(w, fail, newID())
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, t := range v.doc.Targets {
		if t.Kind == conf.Model && c.Allows(t.Name) {
			list.Data = append(list.Data, model{ID: t.Name, Object: "model", Owner: "pimentoseam"})
		}
	}
	server.WriteJSON(w, http.StatusOK, &list)
}
