package limit_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"pimentoseam/io/admin"
	"pimentoseam/io/engine"
	"pimentoseam/io/limit"
	"pimentoseam/io/store"
	"pimentoseam/io/vmlist"
)

func TestReadAll(t *testing.T) {
	failure := errors.New("reset")
	tests := []struct {
		name string
		r    io.Reader
		want string
		err  error
	}{
		{"empty", strings.NewReader(""), "", nil},
		{"within the limit", strings.NewReader("abcd"), "abcd", nil},
		{"too large", strings.NewReader("abcde"), "", &limit.TooLarge{Limit: 4}},
		{"failure", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(failure)), "ab", failure},
	}
	for _, test := range tests {
		got, err := limit.ReadAll(test.r, 4)
		if string(got) != test.want || (test.err == nil) != (err == nil) || (err != nil && err.Error() != test.err.Error()) {
			t.Errorf("%s: got %q, %v, want %q, %v", test.name, got, err, test.want, test.err)
		}
	}
}

// TestEndlessBody guards against a server in trouble that sends a body without end, which a client would collect until its
// time-out.
func TestEndlessBody(t *testing.T) {
	const flood = 160 << 20 // More than any client accepts, and what the buffers of its connection hold.
	calls := map[string]func(context.Context, netip.AddrPort) error{
		"engine": func(ctx context.Context, addr netip.AddrPort) error {
			_, err := engine.New(addr).State(ctx)
			return err
		},
		"store": func(ctx context.Context, addr netip.AddrPort) error {
			_, err := store.New(addr).Get(ctx, "k")
			return err
		},
		"list": func(ctx context.Context, addr netip.AddrPort) error {
			_, _, err := vmlist.New(addr).List(ctx)
			return err
		},
		"admin": func(ctx context.Context, addr netip.AddrPort) error {
			_, err := admin.New(addr, "t").Config(ctx)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				block := []byte(strings.Repeat(" ", 64<<10))
				for sent.Load() < flood {
					n, err := w.Write(block)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			err := call(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()))
			tooLarge := new(limit.TooLarge)
			if !errors.As(err, &tooLarge) || sent.Load() >= flood {
				t.Errorf("got %v after %d MB, want a *TooLarge", err, sent.Load()>>20)
			}
		})
	}
}
