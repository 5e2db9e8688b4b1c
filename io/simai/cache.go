package simai

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/google/uuid"
)

const cacheBytesPerToken = 64 // of an exported KV cache

// Handle identifies a KV cache that an engine holds for export.
type Handle struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// MissingCache reports a KV cache that the source engine no longer holds.
type MissingCache struct {
	Source string
}

// Error returns a message with the source.
func (e *MissingCache) Error() string {
	return "no KV cache at " + e.Source
}

// servePrefill processes a prompt and holds its KV cache for export.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acquireSlot(w, r) {
		return
	}
	defer e.releaseSlot()
	if !e.processPrompt(r.Context(), req.promptTokens()) {
		return
	}
	id := uuid.NewString()
	e.mu.Lock()
	e.caches[id] = req.promptTokens()
	e.mu.Unlock()
	e.finished.Add(1)
	_ = json.NewEncoder(w).Encode(&Handle{Handle: "http://" + r.Host + "/v1/kv/" + id, Tokens: req.promptTokens()})
}

// serveCache sends a KV cache and releases it.
func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	tokens, ok := e.caches[r.PathValue("id")]
	delete(e.caches, r.PathValue("id"))
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(make([]byte, tokens*cacheBytesPerToken))
}

// importCache reads a KV cache from another engine and discards it.
func importCache(ctx context.Context, source string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &MissingCache{Source: source}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
