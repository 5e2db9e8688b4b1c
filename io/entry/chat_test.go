package entry

import (
	"testing"

	"pimentoseam/core/fault"
)

// FuzzChat checks that parseChat accepts only requests with a model and a bounded output, whatever the bytes.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model": "lm", "messages": [{"role": "user", "content": "hello"}], "stream": true}`))
	f.Add([]byte(`{"model": "lm", "messages": [], "max_tokens": 9223372036854775807}`))
	f.Add([]byte(`{"model": "lm", "max_completion_tokens": -1}`))
	f.Add([]byte(`{"model": 7}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, fail := parseChat(data)
		if fail != nil {
			if fail.Kind != fault.Invalid || fail.Message == "" {
				t.Errorf("got %+v, want an invalid request with a message", fail)
			}
			return
		}
		if b.Model == "" || b.outputTokens() < 1 || b.outputTokens() > maxOutputTokens || b.prefixHash() == "" {
			t.Errorf("accepted %+v", b)
		}
	})
}
