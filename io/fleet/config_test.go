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

// maxPropagation is the maximum time until a new revision is in force at all entries.
const maxPropagation = 8 * time.Second

// submitInput is the input of one operation in the history: a submission or, if isRead is set, a read of the
// revision.
type submitInput struct {
	base   int64 // The revision that the submission replaces.
	isRead bool
}

// configModel models the revision of a document that is replaced by compare-and-swap only. A submission with an
// unknown outcome may or may not have replaced it.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(int64), input.(submitInput), output.(*report.Result)
		if in.isRead {
			if out.Revision != current {
				return nil
			}
			return []any{current}
		}
		switch out.Outcome {
		case report.Accepted:
			if current != in.base || out.Revision != in.base+1 {
				return nil
			}
			return []any{current + 1}
		case report.Conflict:
			if current == in.base {
				return nil
			}
			return []any{current}
		case report.Unknown:
			if current == in.base {
				return []any{current, current + 1}
			}
			return []any{current}
		}
		return []any{current}
	},
}

// watchRevision polls an entry's revision until stop is closed, and fails the test if it decreases.
func (c *cluster) watchRevision(t *testing.T, entry string, stop <-chan struct{}) {
	last := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		status, err := c.adminClient(entry).Status(context.Background(), false)
		if err != nil {
			continue
		}
		if status.Revision < last {
			t.Errorf("%s went from revision %d to %d, want no older one", entry, last, status.Revision)
		}
		last = status.Revision
	}
}

// TestConfigRaces checks that concurrent submissions through two entries act as compare-and-swap and that no entry
// returns to an older revision, while the store drops responses, returns stale reads and refuses calls.
func TestConfigRaces(t *testing.T) {
	c := startCluster(t, 2, 1, 0)
	seed := testSeed(t)
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
		random := rand.New(rand.NewPCG(seed, uint64(i)))
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
	random := rand.New(rand.NewPCG(seed, 99))
	for time.Now().Before(end) {
		name := []simflt.Name{simflt.DropResponse, simflt.Stale, simflt.Refuse}[random.IntN(3)]
		fault := simflt.Fault{Name: name, On: true, MaxCalls: 1 + random.IntN(4)}
		if name == simflt.DropResponse {
			fault.Method = "PUT"
		}
		c.setFault("kv", fault)
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
		Input: submitInput{isRead: true}, Output: &report.Result{Revision: final},
		Call: 2 * time.Hour.Nanoseconds(), Return: 2*time.Hour.Nanoseconds() + 1,
	})
	t.Logf("outcomes %v, last revision %d", outcomes, final)
	model := configModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, history, time.Minute); result != porcupine.Ok {
		t.Errorf("the linearizability check of the history returned %v", result)
	}
	if outcomes[report.Accepted] < 3 {
		t.Errorf("%d submissions were accepted, want at least 3", outcomes[report.Accepted])
	}
}

// checkRevisionsIncrease checks in the time line that the revisions in force increase at each of the two entries.
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
			t.Errorf("%s went from revision %d to %d, want a newer one", e.Process, last[e.Process], revision)
		}
		last[e.Process] = revision
	}
	if len(last) != 2 {
		t.Errorf("got revisions of %d entries, want 2", len(last))
	}
}

// submitRandomDeadline submits a document with a random deadline against the revision that the entry returns, and
// looks up an unknown outcome by its id. It returns nil if the entry returns no revision.
func (c *cluster) submitRandomDeadline(clientID int, id string, random *rand.Rand, start time.Time) *porcupine.Operation {
	client := c.adminClient([]string{"entry-1", "entry-2"}[random.IntN(2)])
	current, err := client.Config(context.Background())
	if err != nil {
		return nil
	}
	doc, err := conf.Parse(c.config)
	if err != nil {
		return nil
	}
	doc.Classes[0].FirstDeadline = span.Span(time.Duration(100+random.IntN(900)) * time.Millisecond)
	body := mustJSON(doc)
	callTime := time.Since(start).Nanoseconds()
	result, err := client.Submit(context.Background(), body, current.Revision, id)
	returnTime := time.Since(start).Nanoseconds()
	if err != nil {
		result = &report.Result{Outcome: report.Unknown}
	}
	if result.Outcome == report.Unknown {
		if found, err := client.Submission(context.Background(), id); err == nil && found.Outcome == report.Accepted {
			result = found
			returnTime = time.Since(start).Nanoseconds()
		} else {
			returnTime = time.Hour.Nanoseconds()
		}
	}
	return &porcupine.Operation{ClientId: clientID, Input: submitInput{base: current.Revision}, Call: callTime, Output: result, Return: returnTime}
}

// waitSameRevision waits until both entries report the same revision and returns it. It fails the test after
// maxPropagation.
func (c *cluster) waitSameRevision(t *testing.T) int64 {
	t.Helper()
	var revision int64
	c.eventually(maxPropagation, "both entries have the same revision", func() bool {
		first, firstErr := c.adminClient("entry-1").Status(context.Background(), false)
		second, secondErr := c.adminClient("entry-2").Status(context.Background(), false)
		if firstErr != nil || secondErr != nil || first.Revision != second.Revision {
			return false
		}
		revision = first.Revision
		return true
	})
	return revision
}
