package gate

import (
	"slices"
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/core/leave"
	"pimentoseam/core/member"
)

const (
	// maxLinger is how long an engine may go on with a request without events whose connection this entry has closed. Engines
	// stop at the next chunk of the prompt, if they notice at all; the longest prompts take a few seconds.
	maxLinger = 10 * time.Second
	// maxStreamLinger replaces maxLinger for a request whose events have begun. Its engine notices when it sends the next one.
	maxStreamLinger = time.Second
	// maxAbandoned limits the requests that are remembered for that, of which the oldest are dropped first. Prompts with the most
	// parts take 11 MB.
	maxAbandoned = 256
	// reportDelay is how long after a crash the report of another entry may come.
	reportDelay = 2 * time.Second
)

// abandonment is a request to an upstream whose connection this entry has closed before the response was complete.
type abandonment struct {
	run        *member.Upstream
	id         string // Of the call, for the log.
	names      string // Of the prompt's shared parts, for the log.
	isTrial    bool   // It was sent to find out whether its parts crash engines.
	parts      []blame.Part
	at         time.Time
	firstEvent time.Time // Zero if there was none.
}

// abandon remembers that this entry has closed the connection of a request that was sent to an upstream.
func (x *exchange) abandon(run *member.Upstream) {
	if len(x.parts) == 0 {
		return
	}
	g := x.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = slices.DeleteFunc(g.abandoned, func(old abandonment) bool { return !old.mayRunAt(time.Now().Add(-reportDelay)) })
	g.abandoned = slices.Delete(g.abandoned, 0, max(0, len(g.abandoned)-maxAbandoned+1))
	g.abandoned = append(g.abandoned, abandonment{
		run: run, id: x.call.ID, names: x.call.PartNames(), isTrial: x.isPartTrial, parts: x.parts, at: time.Now(), firstEvent: x.firstEvent,
	})
}

// mayRunAt reports whether the upstream may still have run the request at a time.
func (a abandonment) mayRunAt(at time.Time) bool {
	if a.firstEvent.IsZero() {
		return at.Sub(a.at) <= maxLinger
	}
	return at.Sub(a.at) <= maxStreamLinger
}

// suspect returns the request as one that may have crashed its upstream at a time.
func (a abandonment) suspect(at time.Time) suspect {
	s := suspect{id: a.id, names: a.names, isTrial: a.isTrial, closed: true, prompt: blame.Suspect{Parts: a.parts}}
	if !a.firstEvent.IsZero() {
		s.setAge(at.Sub(a.firstEvent))
	}
	return s
}

// abandonedAt returns the prompts that a run of an upstream may still have run at a time although this entry had closed their
// connections; the lock must be held.
func (g *Gate) abandonedAt(run *member.Upstream, at time.Time) []suspect {
	var list []suspect
	for _, a := range g.abandoned {
		if a.mayRunAt(at) && a.run.SameRun(run) {
			list = append(list, a.suspect(at))
		}
	}
	return list
}

// forgetAbandoned forgets the requests that were abandoned at a run that has crashed.
func (g *Gate) forgetAbandoned(run *member.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = slices.DeleteFunc(g.abandoned, func(a abandonment) bool { return a.run.SameRun(run) })
}

// addAbandoned adds the prompts that this entry has abandoned to the crashes that another one reports, and reports whether there were
// any. An entry that has closed its last connection to an upstream doesn't see its crash.
func (g *Gate) addAbandoned(r *blame.Report) bool {
	g.mu.Lock()
	hasNone := len(g.abandoned) == 0
	g.mu.Unlock()
	if hasNone {
		return false
	}
	found := false
	for run, at := range recentCrashes(r) {
		g.mu.Lock()
		i := slices.IndexFunc(g.abandoned, func(a abandonment) bool { return runOf(a.run) == run })
		if i < 0 {
			g.mu.Unlock()
			continue
		}
		b := &breakage{run: g.abandoned[i].run, at: at}
		b.abandoned = g.abandonedAt(b.run, at)
		g.mu.Unlock()
		g.forgetAbandoned(b.run)
		if prompts := g.weighPrompts(b, g.crashes.TrialAt(run)); len(prompts) > 0 {
			g.logBlocks(g.blame.Crashed(run, at, prompts), "itself")
			g.logChanges()
			found = true
		}
	}
	return found
}

// recentCrashes returns when the crashes of a report that are no older than reportDelay happened.
func recentCrashes(r *blame.Report) map[leave.Run]time.Time {
	recent := make(map[leave.Run]time.Time)
	add := func(run leave.Run, ms uint32) {
		if age := time.Duration(ms) * time.Millisecond; age <= reportDelay {
			recent[run] = time.Now().Add(-age)
		}
	}
	for _, c := range r.Crashes {
		add(c.Run, c.Age)
	}
	for _, c := range r.Late {
		add(c.Run, c.Age)
	}
	return recent
}
