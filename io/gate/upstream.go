package gate

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/health"
	"pimentoseam/core/member"
	"pimentoseam/core/place"
	"pimentoseam/io/proc"
)

// upstream is what this gate knows of one replica.
type upstream struct {
	key     uint32 // Of its id in beats.
	info    atomic.Pointer[member.Upstream]
	breaker *health.Breaker
	moved   atomic.Bool                      // Another replica answered at its address.
	rested  atomic.Int64                     // Until when it gets no work after it took none, by uptime.
	heard   atomic.Int64                     // When the last bytes came from it, by uptime.
	running atomic.Int64                     // Requests of this gate in progress.
	waiting [beat.NumPriorities]atomic.Int64 // Nanoseconds of work of prompts without a first token.
	making  [beat.NumPriorities]atomic.Int64 // Requests of this gate that generate output.
	tokens  [beat.NumPriorities]atomic.Int64 // KV cache that those hold.
}

func newUpstream(key uint32) *upstream {
	return &upstream{key: key, breaker: health.New()}
}

// load returns what this gate has in progress at the upstream and whether it is anything.
func (u *upstream) load() (beat.Load, bool) {
	l := beat.Load{Key: u.key, Running: uint32(u.running.Load())}
	for i := range beat.NumPriorities {
		l.Decoding[i] = uint32(u.making[i].Load())
		l.KVBlocks[i] = uint32(u.tokens[i].Load() / beat.BlockTokens)
		l.PrefillBacklog[i] = uint32(time.Duration(u.waiting[i].Load()) / waitingUnit)
	}
	return l, l.IsBusy()
}

// outputs returns the outputs in progress at the upstream, here and by other entries, in all and those
// that are at least as urgent as a priority.
func (u *upstream) outputs(priority int, elsewhere beat.Load) (all, before place.Usage) {
	for i := range beat.NumPriorities {
		part := place.Usage{
			Requests: int(u.making[i].Load()) + int(elsewhere.Decoding[i]),
			Tokens:   int(u.tokens[i].Load()) + beat.BlockTokens*int(elsewhere.KVBlocks[i]),
		}
		all = all.Add(part)
		if i <= priority {
			before = before.Add(part)
		}
	}
	return all, before
}

// level returns the place of a route's priority in what is told by priority.
func level(priority int) int {
	return min(max(priority, 0), beat.NumPriorities-1)
}

// behindShare is how much of the less urgent prompt work counts as in the way: what an engine has in
// its batch goes on beside a more urgent prompt.
const behindShare = 0.5

// ahead returns the prompt work at the upstream, here and by other entries, that is in the way of a
// prompt with a priority; engines process more urgent prompts first.
func (u *upstream) ahead(priority int, elsewhere beat.Load) time.Duration {
	var sum time.Duration
	for i := range beat.NumPriorities {
		work := time.Duration(u.waiting[i].Load()) + time.Duration(elsewhere.PrefillBacklog[i])*waitingUnit
		if i > priority {
			work = time.Duration(behindShare * float64(work))
		}
		sum += work
	}
	return sum
}

// waitingUnit is the unit of work in beats.
const waitingUnit = 100 * time.Microsecond

// usable reports whether the upstream may get a request now.
func (u *upstream) usable() bool {
	return !u.moved.Load() && !u.breaker.IsOpen()
}

// restTime is how long an upstream that took a request for another role, or that was full, gets no
// work while others can have it.
const restTime = 150 * time.Millisecond

func (u *upstream) rest() {
	u.rested.Store(proc.Uptime() + int64(restTime))
}

// stallTime is the silence after which an engine with a prompt to process is taken to stand still,
// beside the time that the prompt itself takes; a live one answers several prompts a second.
const stallTime = time.Second

// watchStall calls stalled once the upstream has been silent for stallTime and the work of a prompt
// that is sent to it now, unless ctx ends before.
func (u *upstream) watchStall(ctx context.Context, work time.Duration, stalled func()) {
	limit, sent := stallTime+work, proc.Uptime()
	rest := limit
	for rest > 0 {
		proc.Sleep(ctx, rest)
		if ctx.Err() != nil {
			return
		}
		rest = limit - time.Duration(proc.Uptime()-max(sent, u.heard.Load()))
	}
	stalled()
}

func (u *upstream) resting() bool {
	return proc.Uptime() < u.rested.Load()
}

// pickPlain chooses the upstream of a plain service that has the fewest requests in progress, in the
// gate's own availability zone among equals, and was not tried.
func (g *Gate) pickPlain(service string, tried map[*upstream]bool) *upstream {
	var free []*upstream
	for _, u := range g.fleet.Load().services[service] {
		if u.usable() && !tried[u] {
			free = append(free, u)
		}
	}
	if len(free) == 0 {
		return nil
	}
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	elsewhere := g.elsewhere()
	best := free[0]
	for _, u := range free[1:] {
		if g.cost(u, elsewhere) < g.cost(best, elsewhere) {
			best = u
		}
	}
	return best
}

// zonePenalty is the load in requests that the way to another availability zone counts for.
const zonePenalty = 0.6

func (g *Gate) cost(u *upstream, elsewhere map[uint32]beat.Load) float64 {
	cost := float64(u.running.Load()) + float64(elsewhere[u.key].Running)
	if u.info.Load().Zone != g.set().Zone {
		cost += zonePenalty
	}
	return cost
}

// work counts a prompt's work at an upstream and returns a function that takes it back.
func (u *upstream) work(d time.Duration, priority int) func() {
	waiting := &u.waiting[level(priority)]
	waiting.Add(int64(d))
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			waiting.Add(-int64(d))
		}
	}
}

// make counts an output at an upstream and returns a function that takes it back.
func (u *upstream) make(tokens, priority int) func() {
	i := level(priority)
	u.making[i].Add(1)
	u.tokens[i].Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			u.making[i].Add(-1)
			u.tokens[i].Add(-int64(tokens))
		}
	}
}
