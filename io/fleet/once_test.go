package fleet_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"pimentoseam/core/fault"
	"pimentoseam/io/fleet"
	"pimentoseam/io/simflt"
)

// seed returns the seed of a random test, SEED or a fixed one.
func seed(t *testing.T) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		n = 1
	}
	t.Logf("seed %d", n)
	return n
}

// length returns how long a random test runs, LENGTH or short.
func length(short time.Duration) time.Duration {
	d, err := time.ParseDuration(os.Getenv("LENGTH"))
	if err != nil {
		return short
	}
	return d
}

// callInput is one attempt of a caller, or the count of runs at the end.
type callInput struct {
	key   string
	count bool
}

type callOutput struct {
	kind string // "done", a fault kind, or "cut"
	runs int
}

// onceModel is a request that runs at most once, under attempts with three answers.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(callInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		runs, in, out := state.(int), input.(callInput), output.(callOutput)
		if in.count {
			if out.runs != runs {
				return nil
			}
			return []any{runs}
		}
		switch out.kind {
		case "done":
			return []any{1}
		case string(fault.NotRun):
			if runs != 0 {
				return nil
			}
			return []any{0}
		case string(fault.Unknown), "cut":
			return []any{runs, 1}
		}
		return nil
	},
}

// onceClient records the history of callers that repeat their keys through all entries.
type onceClient struct {
	c       *cluster
	entries []string
	begun   time.Time
	mu      sync.Mutex
	history []porcupine.Operation
	kinds   map[string]int
	final   map[string]int
	reasons map[string]int // of answers that tell that the request may have run
}

func newOnceClient(c *cluster) *onceClient {
	return &onceClient{
		c: c, entries: []string{"entry-1", "entry-2"}, begun: time.Now(),
		kinds: map[string]int{}, final: map[string]int{}, reasons: map[string]int{},
	}
}

func (o *onceClient) record(op porcupine.Operation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, op)
	o.kinds[op.Output.(callOutput).kind]++
}

// work lets several clients send orders until stop is closed.
func (o *onceClient) work(wait *sync.WaitGroup, clients int, seed uint64, stop <-chan struct{}) {
	for i := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					o.order(i, random)
				}
			}
		})
	}
}

// start lets several clients send orders; the returned function ends and awaits them.
func (o *onceClient) start(clients int, seed uint64) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	o.work(&wait, clients, seed, done)
	return func() {
		close(done)
		wait.Wait()
	}
}

// order sends one order until it has an answer or its attempts are used up.
func (o *onceClient) order(client int, random *rand.Rand) {
	key := uuid.Must(uuid.NewV7()).String()
	last := ""
	for range 4 {
		entry := o.entries[random.IntN(len(o.entries))]
		call := time.Since(o.begun).Nanoseconds()
		last = o.attempt(entry, key)
		back := time.Since(o.begun).Nanoseconds()
		if last == string(fault.Unknown) || last == "cut" {
			back = time.Hour.Nanoseconds() // it may still take effect
		}
		o.record(porcupine.Operation{ClientId: client, Input: callInput{key: key}, Call: call, Output: callOutput{kind: last}, Return: back})
		if last == "done" {
			break
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.final[last]++
}

type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

func (o *onceClient) attempt(entry, key string) string {
	status, _, body, err := o.c.post(entry, "/v1/services/redirect-app/orders", fleet.CourierToken, key, []byte(key))
	if err != nil {
		return "cut"
	}
	if status == http.StatusOK {
		return "done"
	}
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Type == "" {
		return "untyped"
	}
	if e.Error.Type == string(fault.Unknown) {
		o.mu.Lock()
		o.reasons[e.Error.Message]++
		o.mu.Unlock()
	}
	return e.Error.Type
}

// counts adds the runs of each key over all services to the history.
func (o *onceClient) counts(t *testing.T) {
	runs := map[string]int{}
	for name := range o.c.addresses {
		if len(name) < 8 || name[:8] != "service-" {
			continue
		}
		var found map[string]int
		o.c.read(name, "/runs", &found)
		for key, n := range found {
			runs[key] += n
		}
	}
	now := time.Since(o.begun).Nanoseconds()
	keys := map[string]bool{}
	for _, op := range o.history {
		keys[op.Input.(callInput).key] = true
	}
	for key := range keys {
		n := runs["courier/"+key]
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
		o.history = append(o.history, porcupine.Operation{
			Input: callInput{key: key, count: true}, Call: now, Output: callOutput{runs: n}, Return: now + 1,
		})
	}
}

// TestAtMostOnce repeats keys through all entries while processes are killed and frozen and answers are lost.
func TestAtMostOnce(t *testing.T) {
	c := startCluster(t, 2, 0, 3)
	time.Sleep(2500 * time.Millisecond)
	n := seed(t)
	o := newOnceClient(c)
	stop := o.start(8, n)
	c.disturb(rand.New(rand.NewPCG(n, 99)), length(12*time.Second))
	stop()
	time.Sleep(time.Second)
	o.counts(t)
	t.Logf("answers %v, last answers %v, unknown %v", o.kinds, o.final, o.reasons)
	if o.kinds["untyped"] > 0 {
		t.Errorf("%d answers without a type", o.kinds["untyped"])
	}
	model := onceModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, o.history, time.Minute); result != porcupine.Ok {
		t.Errorf("history is %v", result)
	}
}

// disturb causes one fault after another for the given time, then mends all.
func (c *cluster) disturb(random *rand.Rand, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		agent := "agent-redirect-" + strconv.Itoa(1+random.IntN(3))
		entry := "entry-" + strconv.Itoa(1+random.IntN(2))
		service := "service-redirect-" + strconv.Itoa(1+random.IntN(3))
		switch random.IntN(5) {
		case 0:
			c.kill(agent)
			c.start(agent)
		case 1:
			c.signal(agent, syscall.SIGSTOP)
			time.Sleep(time.Duration(1+random.IntN(3)) * time.Second)
			c.signal(agent, syscall.SIGCONT)
		case 2:
			c.kill(entry)
			c.start(entry)
		case 3:
			c.fault(service, simflt.Fault{Name: simflt.DropResponse, On: true, MaxCalls: 3})
		case 4:
			c.fault(service, simflt.Fault{Name: simflt.Freeze, On: true})
			time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
			c.fault(service, simflt.Fault{Name: simflt.Freeze, On: false})
		}
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
	}
}
