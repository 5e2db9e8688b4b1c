package gate_test

import (
	"io"
	"net/http"
	"testing"

	"pimentoseam/io/simop"
)

// TestResumedStreamFails guards against a stream that looks complete although it broke and its continuation at another engine
// failed.
func TestResumedStreamFails(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	var replicas []*simop.Replica
	for _, id := range []string{"d-1", "d-2", "d-3"} {
		r := newReplica(t, id, "lm", "decode")
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Seal", "s")
			if req.Header.Get("Last-Event-Id") != "" {
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "failed") // Fails only if the gate has closed the connection.
				return
			}
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		replicas = append(replicas, r)
	}
	g := startGate(t, store, "", replicas...)
	g.waitReady(t)
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		if resp, body := g.call(t, "POST", "/model/x", id, prompt(id, "aa", "50")...); resp != nil && resp.StatusCode == http.StatusOK {
			t.Errorf("%s: the caller got a short body that looks complete: %q", id, body)
		}
		// The caller itself resumes the stream.
		again := append(prompt(id+"b", "aa", "50"), "Last-Event-Id", "1")
		if resp, body := g.call(t, "POST", "/model/x", id+"b", again...); resp == nil || resp.StatusCode < http.StatusInternalServerError {
			t.Errorf("%s: got %v with %q for a continuation that fails, want an error", id, resp, body)
		}
	}
}
