package gate

import (
	"context"
	"strings"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/member"
	"pimentoseam/io/proc"
	"pimentoseam/io/socket"
)

const (
	// crashSettle is the time from the first connection that an upstream has closed in the middle of a request until its
	// address is tried. The other requests there fail meanwhile.
	crashSettle = 20 * time.Millisecond
	// maxOnset is the age up to which a request that has events is suspect. A prompt that crashes engines does so soon after
	// its answer begins.
	maxOnset = time.Second
	// maxCrashSuspects limits the suspects that are collected for one upstream.
	maxCrashSuspects = 64
)

// suspect is a request that was at an upstream when that closed its connection.
type suspect struct {
	digest crash.Digest
	prompt blame.Suspect // Without parts if it isn't suspect as a prompt.
}

// accuse records that an upstream closed the connection of this request. If the upstream has crashed, the request is suspect of
// having caused it, depending on how far its response has come.
func (x *exchange) accuse(u *upstream, run *member.Upstream, begun bool, events int) {
	if u.isLeaving() {
		return
	}
	s := suspect{digest: x.requestDigest()}
	if events == 0 || time.Since(x.sentAt) <= maxOnset {
		s.prompt = blame.Suspect{Begun: begun && events == 0, Parts: x.parts}
	}
	x.gate.accuse(u, run, s)
}

// accuse adds a suspect to those of an upstream, and checks whether the upstream has crashed unless that is being done.
func (g *Gate) accuse(u *upstream, run *member.Upstream, s suspect) {
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

// checkCrash finds out whether the upstream's address refuses connections, which shows that its process has ended, and blames
// its suspects if so. A partition or a loss of power is no crash.
func (g *Gate) checkCrash(u *upstream, run *member.Upstream) {
	proc.Sleep(context.Background(), crashSettle)
	crashed := socket.IsRefused(run.Addr)
	g.mu.Lock()
	suspects := u.suspects
	u.suspects, u.isChecked = nil, false
	g.mu.Unlock()
	var prompts []blame.Suspect
	begun := 0
	for _, s := range suspects {
		if len(s.prompt.Parts) == 0 {
			continue
		}
		prompts = append(prompts, s.prompt)
		if s.prompt.Begun {
			begun++
		}
	}
	g.log.Warn("upstream closed connections", "upstream", run.ID, "service", run.Service, "crashed", crashed, "requests", len(suspects), "begun", begun, "suspects", digestNames(suspects))
	if !crashed {
		return
	}
	g.meter.Count("upstream crashes")
	if len(prompts) == 0 {
		return
	}
	u.breaker.Trip()
	g.meter.Count("engine crashes")
	g.blame.SetEntries(g.gossip.NumEntries())
	added := g.blame.Crashed(runOf(run), prompts)
	g.logBlocks(added, "itself")
	g.gossip.Trigger()
	if len(added) == 0 {
		g.readBlocksAfterCrash()
	}
}

// maxLoggedSuspects limits the suspects in a log line.
const maxLoggedSuspects = 16

// digestNames returns the comma-separated digests of suspects.
func digestNames(suspects []suspect) string {
	var names []string
	for _, s := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		names = append(names, s.digest.String())
	}
	return strings.Join(names, ",")
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
