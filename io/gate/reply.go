package gate

import (
	"net/netip"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/beat"
	"pimentoseam/core/call"
	"pimentoseam/core/leave"
	"pimentoseam/core/member"
	"pimentoseam/io/proc"
)

// observe records what an upstream states about itself in a reply to a request that was sent at a time: that it leaves, wants
// nothing for some time or has a limit.
func (g *Gate) observe(u *upstream, reply call.Reply, sentAt time.Time) {
	info := u.info.Load()
	if reply.Instance != "" && reply.Instance != info.ID {
		return // Another upstream answers at the address.
	}
	if reply.Load != nil && reply.Load.Percent > 0 && !g.learnsSpeeds.Swap(true) {
		g.log.Info("speeds are learned", "upstream", info.ID)
	}
	if reply.Pause > 0 {
		u.refuse(reply.Pause)
		g.log.Info("pause", "upstream", info.ID, "for", reply.Pause)
	}
	g.observeLimit(u, runOf(info), reply, sentAt)
	if reply.Leaving && !u.isLeaving() {
		g.recordLeaving([]leave.Run{runOf(info)}, "itself")
	}
}

// runOf returns the present run of an upstream.
func runOf(info *member.Upstream) leave.Run {
	return leave.Run{Key: beat.Key(info.ID), Started: info.Started}
}

// recordLeaving records that runs of upstreams leave, and tells the other entries of new ones.
func (g *Gate) recordLeaving(runs []leave.Run, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range runs {
		if !g.leaving.Add(r) {
			continue
		}
		id := ""
		if u := g.snapshot.Load().byKey[r.Key]; u != nil && runOf(u.info.Load()) == r {
			id = u.info.Load().ID
			u.leavingSince.CompareAndSwap(0, proc.Uptime())
		}
		g.log.Info("leaving", "upstream", id, "key", r.Key, "started", r.Started, "from", source)
		g.gossip.Trigger()
	}
}

// markLeaving sets whether an upstream is known to leave; the lock must be held.
func (g *Gate) markLeaving(u *upstream) {
	if since, ok := g.leaving.Since(runOf(u.info.Load())); ok {
		u.leavingSince.CompareAndSwap(0, max(1, proc.Uptime()-int64(time.Since(since))))
	}
}

// unusable returns the time until the first upstream of a service that can answer callers may get requests, at most 0 if one may
// now. isDown is set if all of them fail or there is none; otherwise the time is that of the shortest pause that an upstream has
// asked for.
func (g *Gate) unusable(service string) (wait time.Duration, isDown bool) {
	isDown = true
	for _, u := range g.snapshot.Load().services[service] {
		if u.replaced.Load() || u.isLeaving() || u.info.Load().Role == member.Prefill {
			continue
		}
		pause, failing := u.refusingFor(), u.breaker.OpenFor()
		isSooner := wait == 0 || max(pause, failing) < wait
		switch {
		case pause <= 0 && failing <= 0:
			return 0, false
		case failing <= 0 && (isDown || isSooner):
			wait, isDown = pause, false
		case isDown && isSooner:
			wait = max(pause, failing)
		}
	}
	return wait, isDown
}

// Alerts returns what this entry knows that a beat doesn't state.
func (g gossipSource) Alerts() []*alert.Alert {
	return []*alert.Alert{g.alert(), {Name: g.settings().Name, Crashes: g.crashes.Report()}}
}

// alert returns the alert with all but the requests that were at crashes.
func (g gossipSource) alert() *alert.Alert {
	settings := g.settings()
	g.logBlocks(g.blame.Review(), "itself")
	g.logChanges()
	g.mu.Lock()
	defer g.mu.Unlock()
	paces, prompts, streams := g.alertPaces, g.alertPrompts, g.alertStreams
	g.alertPaces, g.alertPrompts, g.alertStreams = nil, nil, nil
	return &alert.Alert{
		Paces: paces, Prompts: prompts, Streams: streams, Name: settings.Name, ShareAddr: settings.Share.String(), Era: g.store.Era(), Members: g.storeList.Revision,
		Leaving: g.leaving.Runs(alert.MaxLeaving), Blame: g.blame.Report(),
		Limits: g.permits.book.Limits(alert.MaxLimits),
	}
}

// HandleAlert handles an alert of another entry.
func (g gossipSource) HandleAlert(from netip.AddrPort, a *alert.Alert) {
	g.recordLeaving(a.Leaving, a.Name)
	g.mergeBlame(a)
	g.mergeCrashes(a)
	g.mergeLimits(a)
	g.permits.handleAsks(from, a.Asks)
	g.permits.handleAnswers(a.Answers)
	for _, p := range a.Paces {
		g.learnPace(p)
	}
	for _, p := range a.Streams {
		g.streamPaces.Observe(p.Key, float64(p.Percent)/100)
	}
	for _, p := range a.Prompts {
		g.learnPrompt(p)
	}
	if a.Era == 0 {
		return // The beat states the versions.
	}
	g.store.ObserveEra(a.Era)
	g.compareVersions(&beat.Beat{Name: a.Name, ShareAddr: a.ShareAddr, MembersRevision: a.Members})
}
