package gate

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"pimentoseam/core/alive"
	"pimentoseam/core/beat"
	"pimentoseam/core/health"
	"pimentoseam/core/leave"
	"pimentoseam/core/member"
	"pimentoseam/core/place"
	"pimentoseam/io/proc"
)

// upstream is this gate's state for one upstream.
type upstream struct {
	key            uint32 // Hash of its id, used in beats.
	info           atomic.Pointer[member.Upstream]
	breaker        *health.Breaker
	liveness       *alive.Tracker                   // Whether this run is alive.
	replaced       atomic.Bool                      // Another instance responds at its address.
	hasBadLimit    atomic.Bool                      // It has named a limit that can't be read.
	pausedUntil    atomic.Int64                     // Process uptime until which it is paused.
	refusingUntil  atomic.Int64                     // Process uptime until which it has asked to get nothing.
	leavingSince   atomic.Int64                     // Process uptime since which it is known to leave; 0 if it doesn't.
	lastReceived   atomic.Int64                     // Process uptime at which it last sent any bytes.
	breakage       *breakage                        // While it is checked whether it has crashed; guarded by Gate.mu.
	running        atomic.Int64                     // Number of requests in progress.
	prefillBacklog [beat.NumPriorities]atomic.Int64 // Processing time of prompts without a first token, in nanoseconds.
	decoding       [beat.NumPriorities]atomic.Int64 // Number of requests that generate output.
	kvTokens       [beat.NumPriorities]atomic.Int64 // KV cache that the decoding requests hold, in tokens.
}

func newUpstream(key uint32, run alive.Run) *upstream {
	return &upstream{key: key, breaker: health.New(), liveness: alive.New(run)}
}

// load returns this gate's load on the upstream, and false if there is none.
func (u *upstream) load() (beat.Load, bool) {
	l := beat.Load{Key: u.key, Running: uint32(u.running.Load())}
	for i := range beat.NumPriorities {
		l.Decoding[i] = uint32(u.decoding[i].Load())
		l.KVBlocks[i] = uint32(u.kvTokens[i].Load() / beat.BlockTokens)
		l.PrefillBacklog[i] = uint32(time.Duration(u.prefillBacklog[i].Load()) / backlogUnit)
	}
	return l, l.IsBusy()
}

// usage returns the usage of the upstream by requests that generate output, from this gate and, in peerLoad, from
// the other entries: by all of them, and by those at least as urgent as priority, which a request of that priority
// can't preempt.
func (u *upstream) usage(priority int, peerLoad beat.Load) (running, notPreemptible place.Usage) {
	for i := range beat.NumPriorities {
		part := place.Usage{
			Requests: int(u.decoding[i].Load()) + int(peerLoad.Decoding[i]),
			Tokens:   int(u.kvTokens[i].Load()) + beat.BlockTokens*int(peerLoad.KVBlocks[i]),
		}
		running = running.Add(part)
		if i <= priority {
			notPreemptible = notPreemptible.Add(part)
		}
	}
	return running, notPreemptible
}

// priorityIndex returns the index of a route's priority in the arrays of loads. The last index covers all less
// urgent priorities.
func priorityIndex(priority int) int {
	return min(max(priority, 0), beat.NumPriorities-1)
}

// lessUrgentShare is the share of less urgent prefill work that counts as backlog. Prompts that are already in the
// engine's batch continue beside a more urgent one.
const lessUrgentShare = 0.5

// backlog returns the prefill work at the upstream, from this gate and, in peerLoad, from the other entries, that
// delays a prompt of the given priority. Engines process more urgent prompts first.
func (u *upstream) backlog(priority int, peerLoad beat.Load) time.Duration {
	var sum time.Duration
	for i := range beat.NumPriorities {
		work := time.Duration(u.prefillBacklog[i].Load()) + time.Duration(peerLoad.PrefillBacklog[i])*backlogUnit
		if i > priority {
			work = time.Duration(lessUrgentShare * float64(work))
		}
		sum += work
	}
	return sum
}

// backlogUnit is the unit of the prefill backlog in beats.
const backlogUnit = 100 * time.Microsecond

// run returns the present run of the upstream.
func (u *upstream) run() leave.Run {
	return leave.Run{Key: u.key, Started: u.info.Load().Started}
}

// isUsable reports whether the upstream may get requests now, apart from its leaving.
func (u *upstream) isUsable() bool {
	return !u.replaced.Load() && !u.breaker.IsOpen() && u.refusingFor() <= 0
}

// refusingFor returns how much longer the upstream wants nothing from this VM; at most 0 if it accepts requests.
func (u *upstream) refusingFor() time.Duration {
	return time.Duration(u.refusingUntil.Load() - proc.Uptime())
}

// refuse records that the upstream wants nothing from this VM for d. A shorter pause doesn't end a longer one.
func (u *upstream) refuse(d time.Duration) {
	until := proc.Uptime() + int64(d)
	for old := u.refusingUntil.Load(); old < until; old = u.refusingUntil.Load() {
		if u.refusingUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// isLeaving reports whether the upstream has stated that it leaves.
func (u *upstream) isLeaving() bool {
	return u.leavingSince.Load() > 0
}

// lastResortShare is the share of the drain time in which a leaving upstream still gets requests that no other one can
// take. The rest covers the time until it has read them.
const lastResortShare = 0.5

// isLastResort reports whether the upstream leaves, but may still get requests that no other one can take.
func (u *upstream) isLastResort(drainTime time.Duration) bool {
	since := u.leavingSince.Load()
	return since > 0 && float64(proc.Uptime()-since) < lastResortShare*float64(drainTime)
}

// pauseTime is how long an upstream that rejected a request, because it was full or has changed roles, gets
// no requests that another upstream can take.
const pauseTime = 150 * time.Millisecond

// pause pauses the upstream for pauseTime after it rejected a request.
func (u *upstream) pause() {
	u.pausedUntil.Store(proc.Uptime() + int64(pauseTime))
}

// isPaused reports whether the upstream is paused.
func (u *upstream) isPaused() bool {
	return proc.Uptime() < u.pausedUntil.Load()
}

// pickPlain chooses, among the upstreams of a plain service (a service without engines) that are untried and not full, the
// one with the fewest requests in progress; at equal load it prefers the gate's own availability zone. One with a limit is
// chosen only if the others have no free slot, and one at which a suspect is tried only without others. It returns nil if
// there is none.
func (g *Gate) pickPlain(service string, tried map[*upstream]bool, isFull func(*upstream) bool) *upstream {
	var usable, trying, lastResort []*upstream
	drainTime := g.settings().DrainTime.Duration()
	for _, u := range g.snapshot.Load().services[service] {
		switch {
		case !u.isUsable() || tried[u] || isFull(u):
		case !u.isLeaving() && g.crashes.TrialAt(u.run()):
			trying = append(trying, u)
		case !u.isLeaving():
			usable = append(usable, u)
		case u.isLastResort(drainTime):
			lastResort = append(lastResort, u)
		}
	}
	if len(usable) == 0 {
		usable = trying
	}
	if len(usable) == 0 {
		usable = lastResort
	}
	if len(usable) == 0 {
		return nil
	}
	usable = g.preferUnlimited(usable, g.hasFreeSlot)
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	peerLoads := g.peerLoads()
	best := usable[0]
	for _, u := range usable[1:] {
		if g.cost(u, peerLoads) < g.cost(best, peerLoads) {
			best = u
		}
	}
	return best
}

// preferUnlimited returns the upstreams without a limit if one of them has room, otherwise all.
func (g *Gate) preferUnlimited(upstreams []*upstream, hasRoom func(*upstream) bool) []*upstream {
	if !g.permits.book.HasLimits() {
		return upstreams
	}
	var unlimited []*upstream
	for _, u := range upstreams {
		if !g.isLimited(u) {
			unlimited = append(unlimited, u)
		}
	}
	if slices.ContainsFunc(unlimited, hasRoom) {
		return unlimited
	}
	return upstreams
}

// isLimited reports whether an upstream has named a limit that is in force.
func (g *Gate) isLimited(u *upstream) bool {
	_, limited := g.permits.book.Get(runOf(u.info.Load()))
	return limited
}

// hasFreeSlot reports whether an upstream of a plain service can run another request at once.
func (g *Gate) hasFreeSlot(u *upstream) bool {
	slots := u.info.Load().Slots
	return slots <= 0 || int(u.running.Load())+int(g.peerLoads()[u.key].Running) < slots
}

// crossZonePenalty is the cost of sending a request to another availability zone, as a number of requests in
// progress.
const crossZonePenalty = 0.6

// cost returns the number of requests in progress at an upstream, plus the penalty for another zone.
func (g *Gate) cost(u *upstream, peerLoads map[uint32]beat.Load) float64 {
	cost := float64(u.running.Load()) + float64(peerLoads[u.key].Running)
	if u.info.Load().Zone != g.settings().Zone {
		cost += crossZonePenalty
	}
	return cost
}

// addPrefill adds a prompt's processing time to the upstream's backlog. The returned function removes it again;
// further calls of it do nothing.
func (u *upstream) addPrefill(d time.Duration, priority int) func() {
	backlog := &u.prefillBacklog[priorityIndex(priority)]
	backlog.Add(int64(d))
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			backlog.Add(-int64(d))
		}
	}
}

// addDecode counts a request that generates output at the upstream, with its KV cache in tokens. The returned
// function removes it again; further calls of it do nothing.
func (u *upstream) addDecode(tokens, priority int) func() {
	i := priorityIndex(priority)
	u.decoding[i].Add(1)
	u.kvTokens[i].Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if done.CompareAndSwap(false, true) {
			u.decoding[i].Add(-1)
			u.kvTokens[i].Add(-int64(tokens))
		}
	}
}
