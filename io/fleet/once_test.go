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

// testSeed returns the seed of a randomised test from the environment variable SEED; the default is 1.
func testSeed(t *testing.T) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		n = 1
	}
	t.Logf("seed %d", n)
	return n
}

// testLength returns the duration of a randomised test from the environment variable LENGTH, or defaultLength if it is
// not set.
func testLength(defaultLength time.Duration) time.Duration {
	d, err := time.ParseDuration(os.Getenv("LENGTH"))
	if err != nil {
		return defaultLength
	}
	return d
}

// attemptInput is the input of one operation in the history: an attempt with an idempotency key or, if
// isCount is set, the count of the key's runs at the end of the test.
type attemptInput struct {
	key     string
	isCount bool
}

// attemptOutput is the output of an operation.
type attemptOutput struct {
	kind string // Of an attempt: "done", a fault kind, "cut" if the connection broke, or "untyped".
	runs int    // Of a count.
}

// atMostOnceModel models an order that runs at most once for each idempotency key; its state is the number of
// runs. "done" means that the order has run, fault.NotRun that no attempt has run it so far, and fault.Unknown
// or a broken connection that it may have run.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(attemptInput).key
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
		runs, in, out := state.(int), input.(attemptInput), output.(attemptOutput)
		if in.isCount {
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

// orderLoad sends orders to the plain services, repeats their idempotency keys through all entries and records
// the history. Tests start it 2.5 s after the fleet, because a new agent returns an unknown outcome for keys minted
// up to 2 s after its start, the maximum clock skew.
type orderLoad struct {
	c              *cluster
	entries        []string
	started        time.Time // The origin of the times in history.
	mu             sync.Mutex
	history        []porcupine.Operation
	answers        map[string]int // Attempts by the kind of their answer.
	lastAnswers    map[string]int // Orders by the kind of their last answer.
	unknownReasons map[string]int // Answers with an unknown outcome by their message.
}

// newOrderLoad returns an orderLoad that uses entry-1 and entry-2.
func newOrderLoad(c *cluster) *orderLoad {
	return &orderLoad{
		c: c, entries: []string{"entry-1", "entry-2"}, started: time.Now(),
		answers: map[string]int{}, lastAnswers: map[string]int{}, unknownReasons: map[string]int{},
	}
}

// record appends an operation to the history and counts its answer.
func (o *orderLoad) record(op porcupine.Operation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, op)
	o.answers[op.Output.(attemptOutput).kind]++
}

// startClients starts clients that send orders until stop is closed; each one has its own random numbers.
func (o *orderLoad) startClients(wg *sync.WaitGroup, clients int, seed uint64, stop <-chan struct{}) {
	for i := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					o.sendOrder(i, random)
				}
			}
		})
	}
}

// start starts clients that send orders; the returned function stops them and waits for their end.
func (o *orderLoad) start(clients int, seed uint64) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	o.startClients(&wg, clients, seed, done)
	return func() {
		close(done)
		wg.Wait()
	}
}

// sendOrder sends one order through random entries until it is done, in at most four attempts with the same key.
func (o *orderLoad) sendOrder(client int, random *rand.Rand) {
	key := uuid.Must(uuid.NewV7()).String()
	last := ""
	for range 4 {
		entry := o.entries[random.IntN(len(o.entries))]
		callTime := time.Since(o.started).Nanoseconds()
		last = o.attempt(entry, key)
		returnTime := time.Since(o.started).Nanoseconds()
		if last == string(fault.Unknown) || last == "cut" {
			returnTime = time.Hour.Nanoseconds() // The order may still run later.
		}
		o.record(porcupine.Operation{ClientId: client, Input: attemptInput{key: key}, Call: callTime, Output: attemptOutput{kind: last}, Return: returnTime})
		if last == "done" {
			break
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastAnswers[last]++
}

// errorBody is the body of an entry's error.
type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// attempt sends an order once and returns the kind of its answer.
func (o *orderLoad) attempt(entry, key string) string {
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
		o.unknownReasons[e.Error.Message]++
		o.mu.Unlock()
	}
	return e.Error.Type
}

// recordRuns appends the number of runs of each key, added up over all services, to the history, and fails
// the test if a key ran more than once.
func (o *orderLoad) recordRuns(t *testing.T) {
	runs := map[string]int{}
	for name := range o.c.addresses {
		if len(name) < 8 || name[:8] != "service-" {
			continue
		}
		var serviceRuns map[string]int
		o.c.getJSON(name, "/runs", &serviceRuns)
		for key, n := range serviceRuns {
			runs[key] += n
		}
	}
	now := time.Since(o.started).Nanoseconds()
	keys := map[string]bool{}
	for _, op := range o.history {
		keys[op.Input.(attemptInput).key] = true
	}
	for key := range keys {
		n := runs["courier/"+key]
		if n > 1 {
			t.Errorf("key %s ran %d times, want at most once", key, n)
		}
		o.history = append(o.history, porcupine.Operation{
			Input: attemptInput{key: key, isCount: true}, Call: now, Output: attemptOutput{runs: n}, Return: now + 1,
		})
	}
}

// TestAtMostOnce checks that each order runs at most once, although its key is repeated through all entries
// while agents and entries are killed, agents and services are frozen and services drop their responses.
func TestAtMostOnce(t *testing.T) {
	c := startCluster(t, 2, 0, 3)
	time.Sleep(2500 * time.Millisecond)
	seed := testSeed(t)
	o := newOrderLoad(c)
	stop := o.start(8, seed)
	c.injectFaults(rand.New(rand.NewPCG(seed, 99)), testLength(12*time.Second))
	stop()
	time.Sleep(time.Second)
	o.recordRuns(t)
	t.Logf("answers %v, last answers %v, reasons for unknown outcomes %v", o.answers, o.lastAnswers, o.unknownReasons)
	if o.answers["untyped"] > 0 {
		t.Errorf("got %d answers without an error type, want none", o.answers["untyped"])
	}
	model := atMostOnceModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, o.history, time.Minute); result != porcupine.Ok {
		t.Errorf("the linearizability check of the history returned %v", result)
	}
}

// injectFaults injects one random fault after another into the agents, entries and plain services for the given
// time. Only DropResponse may outlast it, for at most three calls of each service.
func (c *cluster) injectFaults(random *rand.Rand, d time.Duration) {
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
			c.sendSignal(agent, syscall.SIGSTOP)
			time.Sleep(time.Duration(1+random.IntN(3)) * time.Second)
			c.sendSignal(agent, syscall.SIGCONT)
		case 2:
			c.kill(entry)
			c.start(entry)
		case 3:
			c.setFault(service, simflt.Fault{Name: simflt.DropResponse, On: true, MaxCalls: 3})
		case 4:
			c.setFault(service, simflt.Fault{Name: simflt.Freeze, On: true})
			time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
			c.setFault(service, simflt.Fault{Name: simflt.Freeze, On: false})
		}
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
	}
}
