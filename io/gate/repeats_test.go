package gate_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

const (
	retryRatio   = 0.2              // As in newSettings.
	retryWindow  = 10 * time.Second // As in newSettings.
	repeatSlack  = 56
	failingShare = 0.45 // Of the requests to upstreams whose connection is closed without an answer.
)

// repeatTally counts the arrivals beyond the first of each request at all upstreams of a service, by what callers sent and
// upstreams saw.
type repeatTally struct {
	mu       sync.Mutex
	sent     map[string][]time.Time // By service.
	arrivals map[string][]*simop.Arrival
}

// send records that a caller sends a request on a route to a service.
func (r *repeatTally) send(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent, r.arrivals = make(map[string][]time.Time), make(map[string][]*simop.Arrival)
	}
	r.sent[service] = append(r.sent[service], time.Now())
}

// arrive returns a function that records arrivals at an upstream of a service.
func (r *repeatTally) arrive(service string) func(*simop.Arrival) {
	return func(a *simop.Arrival) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.arrivals != nil {
			r.arrivals[service] = append(r.arrivals[service], a)
		}
	}
}

// repeats returns the times of the arrivals beyond the first of each request. The first call for a prompt that was accepted isn't
// counted; the lock must be held.
func (r *repeatTally) repeats(service string) []time.Time {
	slices.SortFunc(r.arrivals[service], func(a, b *simop.Arrival) int { return a.Begun.Compare(b.Begun) })
	wasRead, hasArrived := make(map[string]bool), make(map[string]bool)
	var times []time.Time
	for _, a := range r.arrivals[service] {
		switch {
		case a.Prompt && a.Status == http.StatusOK && !wasRead[a.ID]:
			wasRead[a.ID] = true
		case hasArrived[a.ID]:
			times = append(times, a.Begun)
		default:
			hasArrived[a.ID] = true
		}
	}
	return times
}

// check fails the test if a service got more repeats in some window than the ratio and the slack allow. The requests are those of
// the window, of the one before or of the one half a window before.
func (r *repeatTally) check(t *testing.T, ratio, slack float64) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.sent {
		repeats := r.repeats(service)
		worst, report := -1e9, "no repeats"
		for _, at := range repeats {
			for _, from := range []time.Time{at, at.Add(time.Nanosecond - retryWindow)} {
				requests := 0
				for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
					requests = max(requests, countBetween(r.sent[service], from.Add(-shift)))
				}
				n, allowed := countBetween(repeats, from), ratio*float64(requests)+slack
				if excess := float64(n) - allowed; excess > worst {
					worst, report = excess, fmt.Sprintf("%d repeats of %.0f allowed in the %v from %v", n, allowed, retryWindow, from.Format(time.StampMilli))
				}
			}
		}
		t.Logf("%s: %s, %d repeats of %d requests in all", service, report, len(repeats), len(r.sent[service]))
		if worst > 0 {
			t.Errorf("%s: %s", service, report)
		}
	}
}

// countBetween returns the number of times in the retryWindow that begins at from.
func countBetween(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// TestRepeatsOverRestarts guards against repeats beyond the budget of a window in which entries start again.
func TestRepeatsOverRestarts(t *testing.T) {
	const (
		calm   = retryWindow + time.Second // In which no upstream fails, so that the entries may retry most afterwards.
		length = 13 * time.Second
	)
	binary := buildBinary(t)
	for name, restart := range map[string]func(c *soakCluster, stop <-chan time.Time){
		"none": func(_ *soakCluster, stop <-chan time.Time) { <-stop },
		"all killed at once": func(c *soakCluster, stop <-chan time.Time) {
			for isOpen(stop, 4*time.Second) {
				for _, g := range c.gates {
					g.end(c.t, syscall.SIGKILL)
				}
				for _, g := range c.gates {
					g.start(c.t)
				}
			}
		},
		"killed in turn": func(c *soakCluster, stop <-chan time.Time) {
			for i := 0; isOpen(stop, 700*time.Millisecond); i++ {
				g := c.gates[i%len(c.gates)]
				g.end(c.t, syscall.SIGKILL)
				g.start(c.t)
			}
		},
		"stopped in turn": func(c *soakCluster, stop <-chan time.Time) {
			var ends sync.WaitGroup
			for i := 0; isOpen(stop, 1300*time.Millisecond); i++ {
				g := c.gates[i%len(c.gates)]
				ends.Go(func() {
					g.end(c.t, syscall.SIGTERM)
					g.start(c.t)
				})
			}
			ends.Wait()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newSoakCluster(t, binary, 1, crashPlan{})
			stop := make(chan struct{})
			var callers sync.WaitGroup
			callers.Go(func() { c.press(stop) })
			time.Sleep(calm)
			for _, r := range c.replicas {
				r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
					if rand.Float64() < failingShare {
						panic(http.ErrAbortHandler)
					}
					r.ServeDefault(w, req)
				})
			}
			restart(c, time.After(length))
			close(stop)
			callers.Wait()
			c.repeats.check(t, retryRatio, repeatSlack)
		})
	}
}

// isOpen waits for d and reports whether stop has not fired by then.
func isOpen(stop <-chan time.Time, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// press sends 60 requests a second that may be repeated to each service until stop is closed.
func (c *soakCluster) press(stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	ticks := time.NewTicker(time.Second / 60)
	defer ticks.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		for service, path := range map[string]string{"app": fmt.Sprintf("/gen%d/x", c.version.Load()), "lm": "/model/x"} {
			req, err := http.NewRequest(http.MethodPost, "http://"+c.settings[n%len(c.settings)].Listen.String()+path, strings.NewReader("body"))
			if err != nil {
				c.t.Error(err)
				return
			}
			req.Host = "a.example"
			req.Header.Set("X-Attempt-Id", fmt.Sprintf("%s-%d", service, n))
			for i := 0; i < len(promptHeaders); i += 2 {
				req.Header.Set(promptHeaders[i], promptHeaders[i+1])
			}
			c.repeats.send(service)
			calls.Go(func() {
				if resp, err := client.Do(req); err == nil {
					_ = resp.Body.Close() // What callers get doesn't matter here.
				}
			})
		}
	}
}

// TestUnreadPrompts guards against runs that pass as first arrivals though an engine has got the request already, to read its
// prompt, and hasn't.
func TestUnreadPrompts(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"turned away": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"without an answer": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"failed":            func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const slack = 2
			var tally repeatTally
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			set := newSettings(t, store, "")
			set.RetryRatio, set.RetrySlack = 0, slack
			var replicas []*simop.Replica
			for i := range 3 {
				p := simop.NewReplica(fmt.Sprintf("p-%d", i), "lm", "prefill", simop.WithArrivals(tally.arrive("lm")))
				t.Cleanup(p.Close)
				p.SetHandler(answer)
				d := simop.NewReplica(fmt.Sprintf("d-%d", i), "lm", "decode", simop.WithArrivals(tally.arrive("lm")))
				t.Cleanup(d.Close)
				replicas = append(replicas, p, d)
			}
			log := &logRecorder{}
			g := startWithLog(t, store, set, log, replicas...)
			g.waitReady(t)
			for i := range 40 {
				tally.send("lm")
				g.call(t, "POST", "/model/x", fmt.Sprintf("u%d", i), promptHeaders...)
				time.Sleep(100 * time.Millisecond)
			}
			tally.check(t, 0, slack)
			granted, refused := log.countLines("msg=repeat "), log.countLines(`msg="repeat not granted"`)
			if repeats := len(tally.repeats("lm")); granted != repeats || refused == 0 {
				t.Errorf("%d lines of %d repeats, %d of repeats not granted", granted, repeats, refused)
			}
		})
	}
}
