package shed_test

import (
	"testing"
	"time"

	"pimentoseam/core/place"
	"pimentoseam/core/shed"
)

const (
	engineSlots      = 64
	engineDecodeTime = 1300 * time.Millisecond
	callerTarget     = 250 * time.Millisecond
	callerPatience   = 2 * time.Second
	tickInterval     = 4 * time.Millisecond
)

// attempt is a request to a simulatedEngine.
type attempt struct {
	first, at time.Duration // Arrival of the first and of this attempt.
	retry     bool
	remaining time.Duration // Decode time that remains.
	started   bool
}

// simulatedEngine generates outputs. Retries get only slots that first attempts leave free.
type simulatedEngine struct {
	firstAttempts, retries []*attempt
	onTime, served         int
}

// blocking returns the usage of the requests that a first attempt, or a retry, can't preempt.
func (e *simulatedEngine) blocking(retry bool) place.Usage {
	n := len(e.firstAttempts)
	if retry {
		n += len(e.retries)
	}
	return place.Usage{Requests: n, Tokens: 800 * n}
}

// tick runs the outputs that have a slot and drops those whose callers have left.
func (e *simulatedEngine) tick(now time.Duration) {
	free := engineSlots
	for _, list := range []*[]*attempt{&e.firstAttempts, &e.retries} {
		var kept []*attempt
		for _, a := range *list {
			if free > 0 {
				free--
				if !a.started {
					a.started = true
					e.served++
					if now-a.first <= callerTarget {
						e.onTime++
					}
				}
				a.remaining -= tickInterval
			}
			if a.remaining > 0 && (a.started || now-a.at < callerPatience) {
				kept = append(kept, a)
			}
		}
		*list = kept
	}
}

// simulateBurst simulates a burst of 8 s that needs a quarter more slots than an engine has, followed by a low
// load. Callers retry once, after the retry-after time.
func simulateBurst(t *testing.T, shedding bool) (onTime, served, callers int) {
	const (
		burst    = 8 * time.Second
		length   = 20 * time.Second // Of the simulated arrivals.
		deadline = 8 * time.Second
	)
	e := &simulatedEngine{}
	arrivals := make(map[time.Duration][]*attempt)
	for at := time.Duration(0); at < length; callers++ {
		arrivals[at] = append(arrivals[at], &attempt{first: at, at: at, remaining: engineDecodeTime})
		if at += 4 * tickInterval; at > burst {
			at += 8 * tickInterval
		}
	}
	for now := time.Duration(0); now < length+deadline; now += tickInterval {
		for _, a := range arrivals[now] {
			running := e.blocking(true)
			choice, ok := place.New().Choose(
				&place.Job{PromptTokens: 600, MaxOutputTokens: 30, Zone: "z", Urgent: true, DecodeTime: engineDecodeTime},
				[]*place.Engine{{ID: "d", Zone: "z", Slots: engineSlots, Capacity: 480000, Running: running, Blocking: e.blocking(a.retry)}})
			if !ok {
				t.Fatal("no engine was chosen")
			}
			d := shed.Decide(&shed.Request{
				Delay: choice.Delay, Target: callerTarget, Patience: callerPatience, Remaining: deadline - (now - a.first),
				StatedRemaining: deadline - (now - a.first), MaxStated: deadline,
			})
			switch {
			case shedding && !d.Admit && !a.retry:
				retryAt := (now + d.RetryAfter).Truncate(tickInterval)
				arrivals[retryAt] = append(arrivals[retryAt], &attempt{first: a.first, at: retryAt, retry: true, remaining: engineDecodeTime})
			case shedding && !d.Admit:
			case a.retry:
				e.retries = append(e.retries, a)
			default:
				e.firstAttempts = append(e.firstAttempts, a)
			}
		}
		e.tick(now)
	}
	return e.onTime, e.served, callers
}

// TestPlaces checks that load shedding serves callers better when a burst needs more slots than an engine has.
func TestPlaces(t *testing.T) {
	onTime, served, callers := simulateBurst(t, true)
	naiveOnTime, naiveServed, _ := simulateBurst(t, false)
	t.Logf("on time %d and served %d of %d, without shedding %d and %d", onTime, served, callers, naiveOnTime, naiveServed)
	if 2*onTime < 3*naiveOnTime {
		t.Errorf("%d on time, want at least 1.5 times the %d without shedding", onTime, naiveOnTime)
	}
	// An answer on time counts twice as much as a late one.
	if got, naive := onTime+served, naiveOnTime+naiveServed; 5*got < 6*naive {
		t.Errorf("got a total value of %d, want at least 1.2 times the %d without shedding", got, naive)
	}
}
