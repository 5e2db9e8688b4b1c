package fleet_test

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"pimentoseam/io/fleet"
	"pimentoseam/io/simflt"
)

// maxEngineEnds is the number of engines that prompts with one message may end: five, and three once all entries know.
const maxEngineEnds = 8

// TestCrashingPrompt guards against prompts with one message that crash engine after engine, at every entry and by repeats.
func TestCrashingPrompt(t *testing.T) {
	for name, soundPerPrompt := range map[string]int{"many sound ones": 40, "few sound ones": 4} {
		t.Run(name, func(t *testing.T) { testCrashingPrompt(t, soundPerPrompt, false) })
	}
}

// TestCrashingPromptBehindRelays guards against the same if the addresses of crashed engines accept connections.
func TestCrashingPromptBehindRelays(t *testing.T) {
	testCrashingPrompt(t, 40, true)
}

// testCrashingPrompt is one case of TestCrashingPrompt with sound prompts before each one at fault. If hasRelays is set, agents reach
// their engines by relays, which accept connections also while an engine is down.
func testCrashingPrompt(t *testing.T, soundPerPrompt int, hasRelays bool) {
	const engines, prompts = 3, 16
	c := newCluster(t, 2, engines, 0)
	for i := range engines {
		if hasRelays {
			c.relayUpstream(fmt.Sprintf("clerks-%d", i+1))
		}
	}
	c.startAll()
	names := make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprintf("engine-clerks-%d", i+1)
		c.eventually(startTimeout, names[i]+" listens", func() bool { return c.isListening(names[i]) })
		c.setFault(names[i], simflt.Fault{Name: simflt.Exit, On: true})
	}
	chat := func(n int, messages ...string) int {
		list := `{"role":"system","content":"be brief"}`
		for _, m := range messages {
			list += fmt.Sprintf(`,{"role":"user","content":%q}`, m)
		}
		body := []byte(`{"model":"lm-clerks","max_tokens":2,"messages":[` + list + `]}`)
		status, _, _, err := c.post(fmt.Sprintf("entry-%d", 1+n%2), "/v1/chat/completions", fleet.CounterToken, "", body)
		if err != nil {
			t.Logf("chat %d: %v", n, err)
		}
		return status
	}
	ended, last := 0, 0
	for n := range prompts {
		for i := range soundPerPrompt {
			chat(i, fmt.Sprintf("sound %d %d", n, i))
		}
		last = chat(n, simflt.ExitText, fmt.Sprintf("question %d", n))
		for _, name := range names {
			if conn, err := net.Dial("tcp", c.addresses[name].String()); err == nil {
				_ = conn.Close()
				continue
			}
			ended++
			c.kill(name)
			c.start(name)
			c.eventually(startTimeout, name+" listens", func() bool {
				conn, err := net.Dial("tcp", c.addresses[name].String())
				if err != nil {
					return false
				}
				_ = conn.Close()
				return true
			})
			c.setFault(name, simflt.Fault{Name: simflt.Exit, On: true})
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Logf("%d engines ended", ended)
	if ended == 0 || ended > maxEngineEnds {
		t.Errorf("%d engines ended under %d prompts, want 1 to %d", ended, prompts, maxEngineEnds)
	}
	if last != http.StatusServiceUnavailable {
		t.Errorf("the last prompt got %d, want %d", last, http.StatusServiceUnavailable)
	}
	for n := range 2 {
		sound := strings.Repeat("sound ", 1+n)
		c.eventually(startTimeout, "sound prompts served again", func() bool { return chat(n, sound) == http.StatusOK })
	}
}

// maxServiceEnds is the number of upstreams that one request may end: three, and three once all entries know.
const maxServiceEnds = 6

// TestRequestThatCrashesServices guards against a request that ends each plain service that runs it, at every entry and under new
// keys, and against sound requests beside it being refused.
func TestRequestThatCrashesServices(t *testing.T) {
	for _, test := range []struct{ name, method string }{{"repeatable", http.MethodGet}, {"not repeatable", http.MethodPost}} {
		t.Run(test.name, func(t *testing.T) {
			const services, rounds = 3, 14
			c := startCluster(t, 2, 0, services)
			names := make([]string, services)
			for i := range names {
				names[i] = fmt.Sprintf("service-redirect-%d", i+1)
				c.setFault(names[i], simflt.Fault{Name: simflt.Exit, On: true})
			}
			send := func(n int, text string) int {
				path, body := "/v1/services/redirect-app/"+url.PathEscape(text), ""
				if test.method == http.MethodPost {
					path, body = "/v1/services/redirect-app/orders", text
				}
				status, _, _, err := c.call(fmt.Sprintf("entry-%d", 1+n%2), test.method, path, fleet.CounterToken, uuid.Must(uuid.NewV7()).String(), []byte(body))
				if err != nil {
					t.Logf("request %d: %v", n, err)
				}
				return status
			}
			for n := range 2 { // Agents run no keys that may be older than they are.
				c.eventually(startTimeout, "served", func() bool { return send(n, "first") == http.StatusOK })
			}
			ended, last, sound, served := 0, 0, 0, 0
			for n := range rounds {
				for i := range 10 {
					sound++
					if send(i, fmt.Sprintf("sound %d %d", n, i)) == http.StatusOK {
						served++
					}
				}
				last = send(n, simflt.ExitText)
				for _, name := range names {
					if c.isListening(name) {
						continue
					}
					ended++
					c.kill(name)
					c.start(name)
					c.eventually(startTimeout, name+" listens", func() bool { return c.isListening(name) })
					c.setFault(name, simflt.Fault{Name: simflt.Exit, On: true})
				}
				time.Sleep(1200 * time.Millisecond)
			}
			t.Logf("%d upstreams ended, the last request got %d, %d of %d sound ones were served", ended, last, served, sound)
			if ended == 0 || ended > maxServiceEnds {
				t.Errorf("%d upstreams ended under %d copies of a request, want 1 to %d", ended, rounds, maxServiceEnds)
			}
			if last != http.StatusServiceUnavailable {
				t.Errorf("the last copy got %d, want %d", last, http.StatusServiceUnavailable)
			}
			if 10*served < 9*sound {
				t.Errorf("%d of %d sound requests were served, want nine in ten", served, sound)
			}
		})
	}
}

// isListening reports whether a process accepts connections.
func (c *cluster) isListening(name string) bool {
	conn, err := net.Dial("tcp", c.addresses[name].String())
	if err != nil {
		return false
	}
	_ = conn.Close() // Nothing was sent.
	return true
}
