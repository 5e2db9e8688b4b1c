package gate

import (
	"context"
	"slices"
	"strings"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/beat"
	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/core/member"
	"pimentoseam/io/proc"
	"pimentoseam/io/socket"
)

const (
	// crashSettle is the time from the first connection that an upstream has closed in the middle of a request until its
	// address is tried. The other requests there fail meanwhile.
	crashSettle = 20 * time.Millisecond
	// maxCrashSuspects limits the suspects that are collected for one upstream.
	maxCrashSuspects = 64
)

// suspect is a request that was at an upstream when that closed its connection.
type suspect struct {
	route   string
	digests []digest.Sum
	tried   *digest.Sum   // The digest that a trial is of; nil for other requests.
	prompt  blame.Suspect // Without parts if it isn't suspect as a prompt.
	isTrial bool          // It was sent to find out whether its parts crash engines.
	id      string        // Of the call, for the log.
	names   string        // Of the prompt's shared parts, for the log.
	events  int           // That the upstream had sent, if the connection was open until the crash.
	age     time.Duration // Since the first of them.
	closed  bool          // This entry had closed the connection.
}

// breakage is the connections that one run of an upstream closed in the middle of requests.
type breakage struct {
	run      *member.Upstream
	at       time.Time
	suspects []suspect
	// abandoned are prompts whose connections this entry closed before that, and which the upstream may have gone on with.
	abandoned []suspect
	checked   chan struct{} // Closed when the upstream's address was tried.
}

// setAge sets the time since the first event.
func (s *suspect) setAge(age time.Duration) {
	s.age = age
	if age > blame.Onset {
		s.prompt.After = age
	}
}

// isTried reports whether the request was sent to find out whether it, or parts of it, crash upstreams.
func (s *suspect) isTried() bool {
	return s.isTrial || s.tried != nil
}

// accuse records that an upstream closed the connection of this request. If the upstream has crashed, the request is suspect of
// having caused it; as a prompt that depends on how far its response has come.
func (x *exchange) accuse(u *upstream, run *member.Upstream, begun bool, events int) {
	x.hasFailed = true
	x.checked = x.gate.accuse(u, run, x.asSuspect(begun, events))
	if x.trial != nil {
		x.trial.isUnclear = true
	}
}

// asSuspect returns the request as one that may have crashed its upstream.
func (x *exchange) asSuspect(begun bool, events int) suspect {
	s := suspect{route: x.route.Name, digests: x.identity(), isTrial: x.isPartTrial, id: x.call.ID, names: x.call.PartNames(), events: events}
	s.prompt = blame.Suspect{Begun: begun && events == 0, Parts: x.parts}
	if events > 0 {
		s.setAge(time.Since(x.firstEvent))
	}
	if x.trial != nil {
		s.tried = &x.trial.of
	}
	return s
}

// accuse adds a suspect to those of an upstream, and checks whether the upstream has crashed unless that is being done. The
// channel is closed after the check.
func (g *Gate) accuse(u *upstream, run *member.Upstream, s suspect) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.breakage == nil {
		u.breakage = &breakage{run: run, at: time.Now(), abandoned: g.abandonedAt(run, time.Now()), checked: make(chan struct{})}
		go g.checkCrash(u, u.breakage)
	}
	if len(u.breakage.suspects) < maxCrashSuspects {
		u.breakage.suspects = append(u.breakage.suspects, s)
	}
	return u.breakage.checked
}

// checkCrash finds out whether the upstream's address refuses connections, which shows that its process has ended, and records
// the crash if so. Otherwise it may have crashed: one that is back already, or whose VM is gone, shows by another run; see
// confirmBreakages. One that leaves may have exited as planned.
func (g *Gate) checkCrash(u *upstream, b *breakage) {
	crashed := socket.IsRefused(b.run.Addr)
	proc.Sleep(context.Background(), crashSettle)
	crashed = (crashed || socket.IsRefused(b.run.Addr)) && !u.isLeaving()
	g.mu.Lock()
	u.breakage = nil
	if !crashed {
		g.keepBreakage(b)
	}
	g.mu.Unlock()
	g.log.Warn("upstream broke off requests", "upstream", b.run.ID, "service", b.run.Service, "crashed", crashed, "leaving", u.isLeaving(), "age", time.Since(b.at), "requests", len(b.suspects), "suspects", digestNames(b.suspects))
	if crashed {
		u.breaker.Trip()
		g.recordCrash(b)
	}
	close(b.checked)
	if !crashed && g.isGone(b.run) {
		g.recordBreakage(b)
	}
}

const (
	// goneTimeout limits a health check of an upstream that has broken off requests. One that is busy answers later and is alive.
	goneTimeout = 150 * time.Millisecond
	// goneChecks is the number of checks; the first may meet an idle connection that was closed before.
	goneChecks = 2
)

// isGone reports whether a run that has broken off requests doesn't answer a health check: connections are closed, or another one
// answers. Upstreams also break off single requests and go on, which says nothing against these.
func (g *Gate) isGone(run *member.Upstream) bool {
	if g.healthPath(run.Service) == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	for range goneChecks {
		a, err := listedRun{gate: g, info: run}.Check(ctx)
		if err == nil {
			return a.Instance != run.ID
		}
	}
	return ctx.Err() == nil
}

// recordBreakage holds the parts of prompts that may have crashed an upstream. Its connections may have ended for another reason, so
// that nothing is blocked for it until confirmBreakages shows the crash.
func (g *Gate) recordBreakage(b *breakage) {
	hadTrial := g.crashes.TrialAt(runOf(b.run)) || slices.ContainsFunc(b.suspects, func(s suspect) bool { return s.tried != nil })
	prompts := g.weighPrompts(b, hadTrial)
	if len(prompts) == 0 {
		return
	}
	g.meter.Count("possible engine crashes")
	g.blame.SetEntries(g.gossip.NumEntries())
	g.blame.BrokenOff(runOf(b.run), b.at, prompts) // Judged, and told, a few times a second.
}

// triedRoute returns the route of a request that was tried at the upstream, empty for none.
func (b *breakage) triedRoute() string {
	for _, s := range b.suspects {
		if s.tried != nil {
			return s.route
		}
	}
	return ""
}

// recordCrash blames the suspects of an upstream that has crashed, tells the other entries and logs what follows.
func (g *Gate) recordCrash(b *breakage) {
	g.meter.Count("upstream crashes")
	hadTrial := g.crashes.TrialAt(runOf(b.run)) || slices.ContainsFunc(b.suspects, func(s suspect) bool { return s.tried != nil })
	prompts := g.weighPrompts(b, hadTrial)
	var blocks []blame.Block
	if len(prompts) > 0 {
		g.meter.Count("engine crashes")
		g.blame.SetEntries(g.gossip.NumEntries())
		blocks = g.blame.Crashed(runOf(b.run), b.at, prompts)
		g.logBlocks(blocks, "itself")
		g.logChanges()
	}
	g.forgetAbandoned(b.run)
	requests, tried := crash.Suspects(g.attempts(b))
	hold := g.crashes.Crashed(runOf(b.run), beat.Key(b.run.Service), requests, tried)
	suspects, held := g.crashes.Known()
	g.log.Warn("upstream crashed", "upstream", b.run.ID, "service", b.run.Service, "requests", len(b.suspects), "trial", tried != nil, "route", b.triedRoute(), "at", digestNames(b.suspects), "suspects", suspects, "held", held, "age", time.Since(b.at))
	if hold != nil {
		g.logHolds([]crash.Hold{*hold}, "itself")
	}
	g.gossip.Trigger()
	if hold == nil && len(blocks) == 0 && !hadTrial {
		g.readStoredAfterCrash()
	}
}

const (
	// restartWindow is how long after a connection was closed another run of the upstream shows that it has crashed. A new run
	// registers some seconds after the crash.
	restartWindow = 16 * time.Second
	// silenceWindow is the time within which the requests to a silent upstream are given up. The callers of most wait as long.
	silenceWindow = 4 * time.Second
	// maxBreakages limits the closed connections that are remembered for that.
	maxBreakages = 64
)

// keepBreakage remembers a breakage whose upstream accepts connections; the lock must be held.
func (g *Gate) keepBreakage(b *breakage) {
	kept := g.breakages[:0]
	for _, old := range g.breakages {
		if time.Since(old.at) < restartWindow {
			kept = append(kept, old)
		}
	}
	clear(g.breakages[len(kept):])
	g.breakages = append(kept[max(0, len(kept)-maxBreakages+1):], b)
}

// confirmBreakages records the crashes of upstreams whose runs have been replaced shortly after they closed connections, unless
// they had stated that they leave. isReplaced reports whether a run has been replaced; the lock must be held.
func (g *Gate) confirmBreakages(isReplaced func(run *member.Upstream) bool) {
	kept := g.breakages[:0]
	var crashed *breakage // A run crashes once, when it broke off requests last.
	for _, b := range g.breakages {
		switch {
		case time.Since(b.at) >= restartWindow || g.leaving.Has(runOf(b.run)):
		case isReplaced(b.run) && crashed != nil && crashed.run.SameRun(b.run) && b.at.Sub(crashed.at) < silenceWindow:
			crashed.suspects = append(crashed.suspects, b.suspects[:min(len(b.suspects), maxCrashSuspects-len(crashed.suspects))]...)
		case isReplaced(b.run):
			crashed = b
		default:
			kept = append(kept, b)
		}
	}
	clear(g.breakages[len(kept):])
	g.breakages = kept
	if crashed != nil {
		crashed.abandoned = g.abandonedAt(crashed.run, crashed.at) // Also those that were given up since.
		go g.recordCrash(crashed)
	}
}

// maxLoggedSuspects limits the suspects in a log line.
const maxLoggedSuspects = 16

// digestNames returns the comma-separated digests of suspects.
func digestNames(suspects []suspect) string {
	var names []string
	for _, s := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		names = append(names, s.digests[0].String())
	}
	return strings.Join(names, ",")
}

// attempts returns the requests at a crash with what is known of their parts after it.
func (g *Gate) attempts(b *breakage) []crash.Attempt {
	list := make([]crash.Attempt, len(b.suspects))
	for i, s := range b.suspects {
		_, isBlocked := g.blame.Blocked(s.prompt.Parts)
		list[i] = crash.Attempt{Digests: s.digests, Tried: s.tried, HasHeldParts: isBlocked || g.blame.Held(s.prompt.Parts)}
	}
	return list
}

// weighPrompts returns the prompts against whose parts a crash is evidence, and logs why each one is among them or isn't.
func (g *Gate) weighPrompts(b *breakage, hadTrial bool) []blame.Suspect {
	var list []blame.Suspect
	for i, s := range slices.Concat(b.suspects, b.abandoned) {
		if len(s.prompt.Parts) == 0 {
			continue
		}
		why, counts := blame.Weigh(s.prompt, s.isTried(), hadTrial)
		if counts {
			list = append(list, s.prompt)
		}
		if i < maxLoggedSuspects {
			g.log.Info("crash of parts", "id", s.id, "upstream", b.run.ID, "parts", s.names, "begun", s.prompt.Begun, "events", s.events, "since", s.age, "closed", s.closed, "counts", counts, "why", string(why))
		}
	}
	return list
}

// logHolds logs requests that are held from now on.
func (g *Gate) logHolds(holds []crash.Hold, source string) {
	for _, h := range holds {
		g.meter.Count("holds")
		g.log.Warn("request held", "request", h.Request, "strikes", h.Strikes, "sure", h.Sure, "left", h.Left(), "age", time.Duration(h.Age)*time.Millisecond, "from", source)
	}
}

// mergeCrashes adds what another entry knows about requests that were at crashes, and passes on what is new.
func (g *Gate) mergeCrashes(a *alert.Alert) {
	if a.Crashes.IsEmpty() {
		return
	}
	added, changed := g.crashes.Merge(a.Crashes)
	g.logHolds(added, a.Name)
	if changed {
		g.gossip.Trigger()
	}
}

// logBlocks logs parts of prompts that are blocked from now on.
func (g *Gate) logBlocks(blocks []blame.Block, source string) {
	for _, b := range blocks {
		g.meter.Count("blocks")
		g.log.Warn("prompt parts blocked", "parts", b.Parts, "age", time.Duration(b.Age)*time.Millisecond, "from", source)
	}
}

// logChanges logs parts of prompts that are held from now on or no longer.
func (g *Gate) logChanges() {
	for _, c := range g.blame.TakeChanges() {
		message := "prompt parts released"
		if c.IsHeld {
			message = "prompt parts held"
		}
		g.log.Info(message, "parts", c.Parts, "cause", c.Cause, "crashes", c.Crashes, "trials", c.Trials)
	}
}

// mergeBlame adds what another entry knows about crashes, and passes on what is new.
func (g *Gate) mergeBlame(a *alert.Alert) {
	if a.Blame.IsEmpty() {
		return
	}
	g.blame.SetEntries(g.gossip.NumEntries())
	added, changed := g.blame.Merge(a.Blame)
	g.logBlocks(added, a.Name)
	g.logChanges()
	if g.addAbandoned(a.Blame) || changed {
		g.gossip.Trigger()
	}
}
