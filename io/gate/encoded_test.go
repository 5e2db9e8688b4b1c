package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"pimentoseam/io/simop"
)

// TestEncodedAnswers guards against an answer with a content encoding, which no caller has asked for and which isn't the upstream's own
// body, that reaches the caller, and against one that says that it has none and doesn't.
func TestEncodedAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		fields   string
		isSpoilt bool
	}{
		"gzip":                  {"Content-Encoding: gzip\r\n", true},
		"upper case":            {"CONTENT-ENCODING: GZIP\r\n", true},
		"identity":              {"Content-Encoding: Identity\r\n", false},
		"empty":                 {"Content-Encoding: \r\n", false},
		"identity, then br":     {"Content-Encoding: identity , br\r\n", true},
		"identity and gzip":     {"Content-Encoding: identity\r\nContent-Encoding: gzip\r\n", true},
		"gzip and no body":      {"Content-Encoding: gzip\r\nContent-Length: 0\r\n", true},
		"gzip, transfer coding": {"Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", true},
	} {
		for _, status := range []int{http.StatusOK, http.StatusNotFound} {
			for _, path := range []string{"/once/x", "/plain/x", "/fixed/x", "/model/x"} {
				isPlain := strings.HasPrefix(path, "/once") || strings.HasPrefix(path, "/plain")
				if status != http.StatusOK && !isPlain {
					continue
				}
				t.Run(fmt.Sprintf("%s%s %d", name, path, status), func(t *testing.T) {
					t.Parallel()
					store := newStore(t)
					store.Put("op/config", config(1, 3000))
					service, stage, body := "app", "", "body"
					if !isPlain {
						service, stage, body = "lm", "decode", "id: 1\ndata: x\n\n"
					}
					head := fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n", status)
					framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
					spoilt := head + test.fields + framed
					if strings.Contains(test.fields, "Length: 0") {
						spoilt = head + test.fields + "\r\n"
					} else if strings.Contains(test.fields, "chunked") {
						spoilt = head + test.fields + fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
					}
					var attempts atomic.Int64
					var replicas []*simop.Replica
					for i := range 2 {
						r := newReplica(t, fmt.Sprintf("r-%d", i), service, stage)
						r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
							if attempts.Add(1) > 1 {
								answerRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n"+framed)(w, req)
								return
							}
							answerRaw(spoilt)(w, req)
						})
						replicas = append(replicas, r)
					}
					g := startGate(t, store, "", replicas...)
					g.waitReady(t)
					resp, got := g.call(t, "POST", path, "k1", "X-Token-Counts", "100,40")
					isRepeatable := path == "/plain/x" || path == "/model/x"
					switch {
					case resp == nil:
						t.Error("no answer")
					case resp.Header.Get("Content-Encoding") != "" && test.isSpoilt:
						t.Errorf("got status %d with %q", resp.StatusCode, resp.Header)
					case test.isSpoilt && !isRepeatable && resp.StatusCode != http.StatusBadGateway:
						t.Errorf("got status %d with %q, want %d", resp.StatusCode, got, http.StatusBadGateway)
					case test.isSpoilt && isRepeatable && (resp.StatusCode != http.StatusOK || got != body):
						t.Errorf("got status %d with %q, want the answer of the other upstream", resp.StatusCode, got)
					case !test.isSpoilt && (resp.StatusCode != status || got != body):
						t.Errorf("got status %d with %q, want %d with %q", resp.StatusCode, got, status, body)
					}
				})
			}
		}
	}
}
