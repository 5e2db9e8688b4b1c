package gate

import (
	"context"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/blame"
	"pimentoseam/core/member"
	"pimentoseam/io/proc"
	"pimentoseam/io/socket"
)

const (
	// crashSettle is the time from the first connection that an engine has closed in the middle of a request until its
	// address is tried. The other requests at the engine fail meanwhile.
	crashSettle = 20 * time.Millisecond
	// maxOnset is the age up to which a request that has events is suspect. A prompt that crashes engines does so soon after
	// its answer begins.
	maxOnset = time.Second
	// maxCrashSuspects limits the suspects that are collected for one engine.
	maxCrashSuspects = 64
)

// accuse records that an engine closed the connection of this request. If the engine has crashed, the request is suspect of
// having caused it, depending on how far its response has come.
func (x *exchange) accuse(u *upstream, run *member.Upstream, begun bool, events int) {
	if len(x.parts) == 0 || u.isLeaving() || (events > 0 && time.Since(x.sentAt) > maxOnset) {
		return
	}
	x.gate.accuse(u, run, blame.Suspect{Begun: begun && events == 0, Parts: x.parts})
}

// accuse adds a suspect to those of an engine, and checks whether the engine has crashed unless that is being done.
func (g *Gate) accuse(u *upstream, run *member.Upstream, s blame.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(u.suspects) < maxCrashSuspects {
		u.suspects = append(u.suspects, s)
	}
	if !u.isChecked {
		u.isChecked = true
		go g.checkCrash(u, run)
	}
}

// checkCrash finds out whether the engine's address refuses connections, which shows that its process has ended, and blames
// its suspects if so. A partition or a loss of power is no crash.
func (g *Gate) checkCrash(u *upstream, run *member.Upstream) {
	proc.Sleep(context.Background(), crashSettle)
	crashed := socket.IsRefused(run.Addr)
	g.mu.Lock()
	suspects := u.suspects
	u.suspects, u.isChecked = nil, false
	g.mu.Unlock()
	begun := 0
	for _, s := range suspects {
		if s.Begun {
			begun++
		}
	}
	g.log.Warn("engine closed connections", "upstream", run.ID, "crashed", crashed, "requests", len(suspects), "begun", begun)
	if !crashed {
		return
	}
	g.meter.Count("engine crashes")
	u.breaker.Trip()
	g.blame.SetEntries(g.gossip.NumEntries())
	added := g.blame.Crashed(runOf(run), suspects)
	g.logBlocks(added, "itself")
	g.gossip.Trigger()
	if len(added) == 0 {
		g.readBlocksAfterCrash()
	}
}

// logBlocks logs parts of prompts that are blocked from now on.
func (g *Gate) logBlocks(blocks []blame.Block, source string) {
	for _, b := range blocks {
		g.meter.Count("blocks")
		g.log.Warn("prompt parts blocked", "parts", b.Parts, "age", time.Duration(b.Age)*time.Millisecond, "from", source)
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
	if changed {
		g.gossip.Trigger()
	}
}
