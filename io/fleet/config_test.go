package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"pimentoseam/core/conf"
	"pimentoseam/core/report"
	"pimentoseam/core/span"
	"pimentoseam/io/simflt"
)

const propagationMax = 8 * time.Second

type submitInput struct {
	base int64
	read bool
}

// configModel is the revision of a document that is only replaced by compare-and-swap.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		at, in, out := state.(int64), input.(submitInput), output.(*report.Result)
		if in.read {
			if out.Revision != at {
				return nil
			}
			return []any{at}
		}
		switch out.Outcome {
		case report.Accepted:
			if at != in.base || out.Revision != in.base+1 {
				return nil
			}
			return []any{at + 1}
		case report.Conflict:
			if at == in.base {
				return nil
			}
			return []any{at}
		case report.Unknown:
			if at == in.base {
				return []any{at, at + 1}
			}
			return []any{at}
		}
		return []any{at}
	},
}

// revisions polls an entry's revision and fails the test if it ever goes down.
func (c *cluster) watchRevision(t *testing.T, entry string, stop <-chan struct{}) {
	last := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s, err := c.adminClient(entry).Status(context.Background(), false)
		if err != nil {
			continue
		}
		if s.Revision < last {
			t.Errorf("%s went from revision %d to %d", entry, last, s.Revision)
		}
		last = s.Revision
	}
}

// TestConfigRaces lets operators submit at once through two entries while the store loses answers and gives stale reads.
func TestConfigRaces(t *testing.T) {
	c := startCluster(t, 2, 1, 0)
	n := testSeed(t)
	start := time.Now()
	stop := make(chan struct{})
	var background, operators sync.WaitGroup
	background.Go(func() { c.watchRevision(t, "entry-1", stop) })
	background.Go(func() { c.watchRevision(t, "entry-2", stop) })
	var mu sync.Mutex
	var history []porcupine.Operation
	outcomes := map[report.Outcome]int{}
	end := start.Add(testLength(8 * time.Second))
	for i := range 3 {
		random := rand.New(rand.NewPCG(n, uint64(i)))
		operators.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				op := c.submitRandomDeadline(i, fmt.Sprintf("op-%d-%d", i, k), random, start)
				if op == nil {
					continue
				}
				mu.Lock()
				history = append(history, *op)
				outcomes[op.Output.(*report.Result).Outcome]++
				mu.Unlock()
			}
		})
	}
	random := rand.New(rand.NewPCG(n, 99))
	for time.Now().Before(end) {
		name := []simflt.Name{simflt.DropResponse, simflt.Stale, simflt.Refuse}[random.IntN(3)]
		f := simflt.Fault{Name: name, On: true, MaxCalls: 1 + random.IntN(4)}
		if name == simflt.DropResponse {
			f.Method = "PUT"
		}
		c.setFault("kv", f)
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
	}
	operators.Wait()
	for _, name := range []simflt.Name{simflt.DropResponse, simflt.Stale, simflt.Refuse} {
		c.setFault("kv", simflt.Fault{Name: name})
	}
	final := c.waitSameRevision(t)
	close(stop)
	background.Wait()
	c.checkRevisionsIncrease(t)
	history = append(history, porcupine.Operation{
		Input: submitInput{read: true}, Output: &report.Result{Revision: final},
		Call: 2 * time.Hour.Nanoseconds(), Return: 2*time.Hour.Nanoseconds() + 1,
	})
	t.Logf("outcomes %v, last revision %d", outcomes, final)
	model := configModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, history, time.Minute); result != porcupine.Ok {
		t.Errorf("history is %v", result)
	}
	if outcomes[report.Accepted] < 3 {
		t.Errorf("only %d submissions accepted", outcomes[report.Accepted])
	}
}

// checkRising reads from the time line that each process put only rising revisions in force.
func (c *cluster) checkRevisionsIncrease(t *testing.T) {
	t.Helper()
	events, err := c.adminClient("entry-1").Events(context.Background(), time.Time{}, "")
	if err != nil {
		t.Fatal(err)
	}
	last := map[string]int{}
	for _, e := range events {
		var revision int
		if e.Name != "config" {
			continue
		}
		if _, err := fmt.Sscanf(e.Detail, "revision %d", &revision); err != nil {
			t.Fatalf("event %+v: %v", e, err)
		}
		if revision <= last[e.Process] {
			t.Errorf("%s went from revision %d to %d", e.Process, last[e.Process], revision)
		}
		last[e.Process] = revision
	}
	if len(last) != 2 {
		t.Errorf("got revisions of %d entries, want 2", len(last))
	}
}

// submitOnce submits at the newest revision that the operator sees; an unknown outcome is asked for by id.
func (c *cluster) submitRandomDeadline(client int, id string, random *rand.Rand, start time.Time) *porcupine.Operation {
	admin := c.adminClient([]string{"entry-1", "entry-2"}[random.IntN(2)])
	current, err := admin.Config(context.Background())
	if err != nil {
		return nil
	}
	doc, err := conf.Parse(c.config)
	if err != nil {
		return nil
	}
	doc.Classes[0].FirstDeadline = span.Span(time.Duration(100+random.IntN(900)) * time.Millisecond)
	body := mustJSON(doc)
	call := time.Since(start).Nanoseconds()
	result, err := admin.Submit(context.Background(), body, current.Revision, id)
	back := time.Since(start).Nanoseconds()
	if err != nil {
		result = &report.Result{Outcome: report.Unknown}
	}
	if result.Outcome == report.Unknown {
		if later, err := admin.Submission(context.Background(), id); err == nil && later.Outcome == report.Accepted {
			result = later
			back = time.Since(start).Nanoseconds()
		} else {
			back = time.Hour.Nanoseconds()
		}
	}
	return &porcupine.Operation{ClientId: client, Input: submitInput{base: current.Revision}, Call: call, Output: result, Return: back}
}

// settledRevision waits until all entries have the same revision, within the time to be in force everywhere.
func (c *cluster) waitSameRevision(t *testing.T) int64 {
	t.Helper()
	var revision int64
	c.eventually(propagationMax, "the same revision everywhere", func() bool {
		a, errA := c.adminClient("entry-1").Status(context.Background(), false)
		b, errB := c.adminClient("entry-2").Status(context.Background(), false)
		if errA != nil || errB != nil || a.Revision != b.Revision {
			return false
		}
		revision = a.Revision
		return true
	})
	return revision
}
