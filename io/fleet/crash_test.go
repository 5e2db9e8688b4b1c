package fleet_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pimentoseam/io/fleet"
	"pimentoseam/io/simflt"
)

// maxEngineEnds is the number of engines that prompts with one message may end: five, and three once all entries know.
const maxEngineEnds = 8

// TestCrashingPrompt guards against prompts with one message that crash engine after engine, at every entry and by repeats.
func TestCrashingPrompt(t *testing.T) {
	const engines, prompts, soundPerPrompt = 3, 16, 40
	c := startCluster(t, 2, engines, 0)
	names := make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprintf("engine-clerks-%d", i+1)
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
