package simai

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"pimentoseam/io/simflt"
)

const (
	defaultOutputTokens = 16
	charsPerToken       = 4
	digestBytes         = 8
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type request struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

// promptTokens returns the estimated length of the prompt.
func (r *request) promptTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)
	}
	return n/charsPerToken + 1
}

// outputTokens returns the length of the output that the engine generates.
func (r *request) outputTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultOutputTokens
}

// Digest returns the hash of a request body that is the first token of its answer.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:digestBytes])
}

// Token returns the i-th token of an answer whose first token is digest.
func Token(digest string, i int) string {
	if i == 0 {
		return digest
	}
	return fmt.Sprintf(" %s.%d", digest[:4], i)
}

// Text returns the complete text of an answer with the given number of tokens.
func Text(digest string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(digest, i))
	}
	return b.String()
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	Prompt int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acquireSlot(w, r) {
		return
	}
	defer e.releaseSlot()
	if source := r.Header.Get("X-Kv-Source"); source != "" {
		if err := importCache(r.Context(), source); err != nil {
			http.Error(w, err.Error(), http.StatusFailedDependency)
			return
		}
	} else if !e.processPrompt(r.Context(), req.promptTokens()) {
		return
	}
	if _, ok := e.faults.Trigger(simflt.Exit, r); ok && bytes.Contains(body, []byte(simflt.ExitText)) {
		exit(w)
	}
	response := &responder{engine: e, w: w, digest: Digest(body), id: "chatcmpl-" + uuid.NewString(), req: &req}
	if req.Stream {
		response.writeStream(r.Context())
		return
	}
	response.writeCompletion(r.Context())
}

// exitDelay is the time from the head of a response to the end of the process.
const exitDelay = 30 * time.Millisecond

// exit begins to respond and ends the process.
func exit(w http.ResponseWriter) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // Fails only if the agent has disconnected.
	time.Sleep(exitDelay)
	os.Exit(1)
}

// acquireSlot waits for a slot; it rejects the request while a command is being executed.
func (e *Engine) acquireSlot(w http.ResponseWriter, r *http.Request) bool {
	if e.phase() != Ready {
		http.Error(w, "changing", http.StatusServiceUnavailable)
		return false
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		e.cancelled.Add(1)
		return false
	}
	e.started.Add(1)
	e.running.Add(1)
	return true
}

func (e *Engine) releaseSlot() {
	e.running.Add(-1)
	<-e.slots
}

// processPrompt waits for the time that the engine takes to process the prompt; it returns false if ctx ends first.
func (e *Engine) processPrompt(ctx context.Context, tokens int) bool {
	e.promptTokens.Add(int64(tokens))
	return e.sleep(ctx, time.Duration(float64(tokens)/e.settings.PrefillRate*float64(time.Second)))
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		e.cancelled.Add(1)
		return false
	}
}

// responder writes the answer to one request.
type responder struct {
	engine *Engine
	w      http.ResponseWriter
	digest string
	id     string
	req    *request
}

func (r *responder) writeStream(ctx context.Context) {
	r.w.Header().Set("Content-Type", "text/event-stream")
	flusher := r.w.(http.Flusher)
	n := r.req.outputTokens()
	for i := range n {
		if !r.engine.sleep(ctx, r.engine.settings.TokenTime) {
			return
		}
		r.writeChunk(choice{Delta: &delta{Role: "assistant", Content: Token(r.digest, i)}})
		flusher.Flush()
	}
	stop := "stop"
	r.writeChunk(choice{Delta: &delta{}, FinishReason: &stop})
	_, _ = io.WriteString(r.w, "data: [DONE]\n\n")
	r.engine.finished.Add(1)
}

func (r *responder) writeChunk(c choice) {
	data, _ := json.Marshal(&completion{
		ID: r.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: r.req.Model, Choices: []choice{c},
	})
	_, _ = fmt.Fprintf(r.w, "data: %s\n\n", data)
}

func (r *responder) writeCompletion(ctx context.Context) {
	n := r.req.outputTokens()
	if !r.engine.sleep(ctx, time.Duration(n)*r.engine.settings.TokenTime) {
		return
	}
	stop := "stop"
	r.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.w).Encode(&completion{
		ID: r.id, Object: "chat.completion", Created: time.Now().Unix(), Model: r.req.Model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: Text(r.digest, n)}, FinishReason: &stop}},
		Usage:   &usage{Prompt: r.req.promptTokens(), Output: n, Total: r.req.promptTokens() + n},
	})
	r.engine.finished.Add(1)
}
