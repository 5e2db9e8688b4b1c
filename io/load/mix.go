package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"pimentoseam/core/fault"
	"pimentoseam/io/answer"
	"pimentoseam/io/simai"
)

// Kind is the kind of a caller's requests.
type Kind string

// The kinds of request.
const (
	StreamedChat      Kind = "stream" // A streamed chat request.
	UnstreamedChat    Kind = "check"  // A chat request with a short answer that is not streamed.
	NonIdempotentCall Kind = "order"  // A non-idempotent service call.
	IdempotentCall    Kind = "lookup" // An idempotent service call.
)

// Caller sends requests of one kind at a constant mean rate.
type Caller struct {
	Name         string
	Token        string
	Kind         Kind
	Rate         float64 // Requests per second.
	PromptTokens int
	OutputTokens int
}

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes that this package checks; other outcomes are the error types of refused requests, status-N for a
// status without one and broken-TYPE for an answer that ended with an error.
const (
	Complete     Outcome = "whole" // The complete and correct answer.
	Incorrect    Outcome = "wrong" // An answer that ended without an error but is incomplete or incorrect.
	Disconnected Outcome = "cut"   // The connection broke.
)

// Tally counts one caller's outcomes and latencies.
type Tally struct {
	Caller      string
	Outcomes    map[Outcome]int
	First       *hdrhistogram.Histogram // Microseconds until the first token (unstreamed: the end) of complete answers.
	Total       *hdrhistogram.Histogram // Microseconds until the complete answer.
	MaxDuration time.Duration           // Until the end of any answer, complete or not.
}

// Generator sends the load of several callers.
type Generator struct {
	entries []netip.AddrPort
	healthy atomic.Pointer[[]netip.AddrPort] // The entries that requests are sent to.
	http    *http.Client
	mu      sync.Mutex
	tallies map[string]*Tally
}

const (
	maxLatencyMicros    = int64(time.Hour / time.Microsecond)
	histogramDigits     = 3
	requestTimeout      = 2 * time.Minute
	maxIdleConns        = 1024
	healthCheckInterval = 200 * time.Millisecond
)

// New returns a Generator that spreads its requests over the entries.
func New(entries []netip.AddrPort) *Generator {
	transport := answer.NewTransport(nil)
	transport.MaxIdleConnsPerHost = maxIdleConns
	g := &Generator{
		entries: entries,
		http:    &http.Client{Timeout: requestTimeout, Transport: transport},
		tallies: make(map[string]*Tally),
	}
	g.healthy.Store(&entries)
	return g
}

// checkHealth stops sending to entries whose health check fails, as the platform's load balancer does; while all
// fail, it keeps the previous selection.
func (g *Generator) checkHealth(ctx context.Context) {
	for ctx.Err() == nil {
		var healthy []netip.AddrPort
		for _, addr := range g.entries {
			if g.isHealthy(ctx, addr) {
				healthy = append(healthy, addr)
			}
		}
		if len(healthy) > 0 {
			g.healthy.Store(&healthy)
		}
		time.Sleep(healthCheckInterval)
	}
}

func (g *Generator) isHealthy(ctx context.Context, addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckInterval)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := g.http.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Run sends each caller's requests for the given time and waits for their answers.
func (g *Generator) Run(ctx context.Context, callers []Caller, length time.Duration) []*Tally {
	checkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go g.checkHealth(checkCtx)
	var wait sync.WaitGroup
	var tallies []*Tally
	for _, c := range callers {
		t := &Tally{
			Caller:   c.Name,
			Outcomes: make(map[Outcome]int),
			First:    hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
			Total:    hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		}
		g.tallies[c.Name] = t
		tallies = append(tallies, t)
		wait.Go(func() { g.runCaller(ctx, c, length, &wait) })
	}
	wait.Wait()
	return tallies
}

// runCaller starts a caller's requests at exponentially distributed intervals.
func (g *Generator) runCaller(ctx context.Context, c Caller, length time.Duration, wait *sync.WaitGroup) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		wait.Go(func() { g.sendOne(ctx, c) })
		time.Sleep(time.Duration(rand.ExpFloat64() / c.Rate * float64(time.Second)))
	}
}

func (g *Generator) sendOne(ctx context.Context, c Caller) {
	startedAt := time.Now()
	outcome, first := g.send(ctx, c, startedAt)
	total := time.Since(startedAt)
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.tallies[c.Name]
	t.Outcomes[outcome]++
	t.MaxDuration = max(t.MaxDuration, total)
	if outcome == Complete {
		_ = t.First.RecordValue(first.Microseconds())
		_ = t.Total.RecordValue(total.Microseconds())
	}
}

func (g *Generator) send(ctx context.Context, c Caller, startedAt time.Time) (Outcome, time.Duration) {
	body := c.body()
	r, err := http.NewRequestWithContext(ctx, c.method(), g.url(c), bytes.NewReader(body))
	if err != nil {
		return Disconnected, 0
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	if c.Kind == NonIdempotentCall {
		r.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
		r.GetBody = nil
	}
	resp, err := g.http.Do(r)
	if err != nil {
		return Disconnected, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedOutcome(resp), 0
	}
	if c.Kind == StreamedChat {
		return readStream(resp.Body, simai.Digest(body), c.OutputTokens, startedAt)
	}
	outcome := readUnstreamed(resp.Body, c, simai.Digest(body))
	return outcome, time.Since(startedAt)
}

func (c *Caller) method() string {
	if c.Kind == IdempotentCall {
		return http.MethodGet
	}
	return http.MethodPost
}

func (g *Generator) url(c Caller) string {
	entries := *g.healthy.Load()
	base := "http://" + entries[rand.IntN(len(entries))].String()
	switch c.Kind {
	case NonIdempotentCall, IdempotentCall:
		return base + "/v1/services/redirect-app/orders"
	}
	return base + "/v1/chat/completions"
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chat struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

const charsPerToken = 4

func (c *Caller) body() []byte {
	if c.Kind == IdempotentCall {
		return nil
	}
	text := uuid.NewString() + strings.Repeat(" abc", max(c.PromptTokens, 0)*charsPerToken/4)
	if c.Kind == NonIdempotentCall {
		data, _ := json.Marshal(&message{Role: "order", Content: text[:36]})
		return data
	}
	data, _ := json.Marshal(&chat{
		Model: "lm-clerks", Messages: []message{{Role: "user", Content: text}},
		MaxTokens: c.OutputTokens, Stream: c.Kind == StreamedChat,
	})
	return data
}

type errorBody struct {
	Error struct {
		Type fault.Kind `json:"type"`
	} `json:"error"`
}

// refusedOutcome returns the error type of a refused request, or its status if there is none.
func refusedOutcome(resp *http.Response) Outcome {
	var e errorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil || e.Error.Type == "" {
		return Outcome(fmt.Sprintf("status-%d", resp.StatusCode))
	}
	return Outcome(e.Error.Type)
}

// chunk is the part of an answer, or of one event of it, that the load checks.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// readUnstreamed reads a whole answer and compares it with the one that the digest determines.
func readUnstreamed(body io.Reader, c Caller, digest string) Outcome {
	data, err := io.ReadAll(body)
	if err != nil {
		return Disconnected
	}
	if c.Kind != UnstreamedChat {
		var r struct {
			Digest string `json:"digest"`
			Run    int    `json:"run"`
		}
		if err := json.Unmarshal(data, &r); err != nil || r.Digest != digest || r.Run != 1 {
			return Incorrect
		}
		return Complete
	}
	var a chunk
	if err := json.Unmarshal(data, &a); err != nil || len(a.Choices) != 1 {
		return Incorrect
	}
	if a.Choices[0].Message.Content != simai.Text(digest, c.OutputTokens) {
		return Incorrect
	}
	return Complete
}

// readStream reads an event stream and compares its text with the answer that the digest determines; it also
// returns the time until the first token.
func readStream(body io.Reader, digest string, tokens int, startedAt time.Time) (Outcome, time.Duration) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	var first time.Duration
	var text strings.Builder
	failed, done := false, false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			failed = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			return streamErrorOutcome(data), first
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		if first == 0 {
			first = time.Since(startedAt)
		}
		var ch chunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) != 1 {
			return Incorrect, first
		}
		text.WriteString(ch.Choices[0].Delta.Content)
	}
	if scanner.Err() != nil {
		return Disconnected, first
	}
	if !done || text.String() != simai.Text(digest, tokens) {
		return Incorrect, first
	}
	return Complete, first
}

// streamErrorOutcome returns the outcome of a stream that ended in an error event with the given data.
func streamErrorOutcome(data string) Outcome {
	var e errorBody
	if err := json.Unmarshal([]byte(data), &e); err != nil || e.Error.Type == "" {
		return Incorrect
	}
	return "broken-" + Outcome(e.Error.Type)
}
