package alive_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/alive"
)

// fakeRun is a run whose checks are answered by a function.
type fakeRun struct {
	mu      sync.Mutex
	left    bool
	other   bool // Another run is known.
	checks  int
	respond func(ctx context.Context, opened time.Time) (alive.Answer, error)
	opened  time.Time // When the connection for checks was opened; zero for a new one each time.
}

func (r *fakeRun) ID() string { return "i-1" }

func (r *fakeRun) IsLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.left
}

func (r *fakeRun) IsCurrent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.other
}

func (r *fakeRun) Check(ctx context.Context) (alive.Answer, error) {
	r.mu.Lock()
	r.checks++
	respond := r.respond
	r.mu.Unlock()
	opened := r.opened
	if opened.IsZero() {
		opened = time.Now()
	}
	return respond(ctx, opened)
}

// answerAs returns a function that answers as the upstream with the given id after a delay.
func answerAs(id string, delay time.Duration) func(context.Context, time.Time) (alive.Answer, error) {
	return func(ctx context.Context, opened time.Time) (alive.Answer, error) {
		sent := time.Now()
		select {
		case <-time.After(delay):
			return alive.Answer{Instance: id, Opened: opened, Sent: sent}, nil
		case <-ctx.Done():
			return alive.Answer{}, ctx.Err()
		}
	}
}

// refuse answers as a host without the process.
func refuse(context.Context, time.Time) (alive.Answer, error) {
	return alive.Answer{Sent: time.Now(), IsRefused: true}, nil
}

// failThen returns a function that fails, as on an idle connection that has just been closed, and calls next afterwards.
func failThen(next func(context.Context, time.Time) (alive.Answer, error)) func(context.Context, time.Time) (alive.Answer, error) {
	isFirst := true
	return func(ctx context.Context, opened time.Time) (alive.Answer, error) {
		if isFirst {
			isFirst = false
			return alive.Answer{}, io.EOF
		}
		return next(ctx, opened)
	}
}

// TestDecide guards against a response that ends as complete though its process was killed, and against one of a sound process
// that does not.
func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		run      *fakeRun
		opened   time.Duration // Before the end, of the connection for checks; 0 for a new one.
		lag      time.Duration // From the last bytes until the end is noticed.
		replaced time.Duration // The list shows another run so long after the end; 0 for not.
		want     alive.Verdict
		checks   int
		within   time.Duration
	}{
		"alive":                       {run: &fakeRun{respond: answerAs("i-1", time.Millisecond)}, want: alive.Alive, checks: 1, within: 2 * time.Millisecond},
		"killed":                      {run: &fakeRun{respond: refuse}, want: alive.Ended, checks: 1, within: time.Millisecond},
		"new id at the address":       {run: &fakeRun{respond: answerAs("i-2", 0)}, want: alive.Ended, checks: 1, within: time.Millisecond},
		"no answer, then refused":     {run: &fakeRun{respond: failThen(refuse)}, want: alive.Ended, checks: 2, within: 2 * time.Millisecond},
		"same id, started at once":    {run: &fakeRun{respond: failThen(answerAs("i-1", 0))}, replaced: 300 * time.Millisecond, want: alive.Unproven, checks: 2, within: 502 * time.Millisecond},
		"idle connection lost":        {run: &fakeRun{respond: failThen(answerAs("i-1", 0))}, want: alive.Alive, checks: 2, within: 502 * time.Millisecond},
		"same id, other start":        {run: &fakeRun{respond: answerAs("i-1", 0), other: true}, want: alive.Unproven, checks: 0, within: 0},
		"leaving, alive":              {run: &fakeRun{respond: answerAs("i-1", time.Millisecond), left: true}, opened: time.Second, want: alive.Alive, checks: 1, within: time.Millisecond},
		"leaving, killed":             {run: &fakeRun{respond: refuse, left: true}, want: alive.Ended, checks: 1},
		"leaving, no answer":          {run: &fakeRun{respond: failThen(refuse), left: true}, want: alive.Ended, checks: 2},
		"leaving, paused for long":    {run: &fakeRun{respond: answerAs("i-1", time.Hour), left: true}, want: alive.Unproven, checks: 1, within: time.Second},
		"paused and resumed":          {run: &fakeRun{respond: answerAs("i-1", 300*time.Millisecond)}, want: alive.Alive, checks: 1, within: 301 * time.Millisecond},
		"paused for long":             {run: &fakeRun{respond: answerAs("i-1", time.Hour)}, want: alive.Unproven, checks: 1, within: 1001 * time.Millisecond},
		"resumed on a new connection": {run: &fakeRun{respond: answerAs("i-1", 600*time.Millisecond)}, want: alive.Unproven, checks: 1, within: 601 * time.Millisecond},
		"resumed on an open one":      {run: &fakeRun{respond: answerAs("i-1", 600*time.Millisecond)}, opened: time.Second, want: alive.Alive, checks: 1, within: 601 * time.Millisecond},
		"noticed late":                {run: &fakeRun{respond: answerAs("i-1", 0)}, lag: 5 * time.Second, want: alive.Unproven, checks: 1, within: time.Millisecond},
		"noticed late, opened since":  {run: &fakeRun{respond: answerAs("i-1", 0)}, lag: 5 * time.Second, opened: time.Second, want: alive.Unproven, checks: 1, within: time.Millisecond},
		"noticed late, opened before": {run: &fakeRun{respond: answerAs("i-1", 0)}, lag: 5 * time.Second, opened: 6 * time.Second, want: alive.Alive, checks: 1, within: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := test.run
				now := time.Now()
				if test.opened > 0 {
					run.opened = now.Add(-test.opened)
				}
				if test.replaced > 0 {
					time.AfterFunc(test.replaced, func() {
						run.mu.Lock()
						defer run.mu.Unlock()
						run.other = true
					})
				}
				got := alive.New(run).Decide(t.Context(), alive.End{Received: now.Add(-test.lag), NotBefore: now.Add(-test.lag), Noticed: now})
				run.mu.Lock() // A check may go on.
				checks := run.checks
				run.mu.Unlock()
				if got != test.want || checks != test.checks {
					t.Errorf("got %s after %d checks, want %s after %d", got, checks, test.want, test.checks)
				}
				if took := time.Since(now); took > test.within {
					t.Errorf("took %v, want %v at most", took, test.within)
				}
				time.Sleep(time.Second) // Until the last check has ended.
			})
		})
	}
}

// TestShared guards against a check for each of many responses that end at the same time, and against one that was sent
// before an end as evidence for it.
func TestShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := &fakeRun{respond: answerAs("i-1", 2*time.Millisecond)}
		w := alive.New(run)
		var wait sync.WaitGroup
		judge := func() {
			wait.Go(func() {
				now := time.Now()
				if got := w.Decide(t.Context(), alive.End{Received: now, NotBefore: now, Noticed: now}); got != alive.Alive {
					t.Errorf("got %s", got)
				}
			})
		}
		for range 30 {
			judge()
		}
		time.Sleep(2 * time.Millisecond) // The check is in progress.
		run.mu.Lock()
		run.respond = refuse
		run.mu.Unlock()
		now := time.Now()
		if got := w.Decide(t.Context(), alive.End{Received: now, NotBefore: now, Noticed: now}); got != alive.Ended {
			t.Errorf("killed during the check: got %s, want it ended", got)
		}
		wait.Wait()
		if run.checks != 2 {
			t.Errorf("%d checks, want one for the first thirty and one for the last", run.checks)
		}
	})
}

// TestHangingChecks guards against an end that waits for a hanging check of earlier ends and then for another one, by which time
// the callers of a stream have disconnected.
func TestHangingChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := alive.New(&fakeRun{respond: answerAs("i-1", time.Hour)})
		var wait sync.WaitGroup
		for range 2 {
			wait.Go(func() {
				now := time.Now()
				if got := w.Decide(t.Context(), alive.End{Received: now, NotBefore: now, Noticed: now}); got != alive.Unproven {
					t.Errorf("got %s, want it unproven", got)
				}
				if took := time.Since(now); took > 1021*time.Millisecond {
					t.Errorf("took %v, want little more than one check", took)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wait.Wait()
		time.Sleep(2 * time.Second) // Until the checks have ended.
	})
}

// TestObserve checks that the answer to a later request replaces a check, and that no earlier one does.
func TestObserve(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			run := &fakeRun{respond: refuse}
			w := alive.New(run)
			opened, sent := time.Now(), time.Now()
			time.Sleep(time.Second)
			now := time.Now()
			time.Sleep(time.Millisecond)
			if late {
				sent = time.Now()
			}
			w.Observe(alive.Answer{Instance: "i-1", Opened: opened, Sent: sent})
			w.Observe(alive.Answer{Instance: "i-2", Opened: opened, Sent: time.Now().Add(time.Second)})
			got := w.Decide(t.Context(), alive.End{Received: now, NotBefore: now, Noticed: now})
			if want := map[bool]alive.Verdict{true: alive.Alive, false: alive.Ended}[late]; got != want {
				t.Errorf("late %v: got %s after %d checks, want %s", late, got, run.checks, want)
			}
		})
	}
}
