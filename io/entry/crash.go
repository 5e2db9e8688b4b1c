package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/blame"
	"pimentoseam/core/leave"
)

// recordCrash records that an engine has crashed under this attempt.
func (t *transfer) recordCrash(at time.Time) {
	q, name := t.request, t.attempt.up.conf.Load().Name
	q.crashes++
	run := leave.Run{Key: uint32(xxhash.Sum64String(name)), Started: at.UnixMilli()} // Names the crash, as no start is known.
	added := q.entry.blame.Crashed(run, []blame.Suspect{{Begun: t.hasHead && t.received == 0, Parts: q.parts}})
	q.entry.log.Warn("engine crashed", "request", q.id, "upstream", name, "bytes", t.received, "crashes", q.crashes)
	q.entry.logBlocks(added, "itself")
}

// mergeBlame adds what the agent of an upstream passes on from other entries.
func (e *Entry) mergeBlame(r *blame.Report, agent string) {
	added, _ := e.blame.Merge(r)
	e.logBlocks(added, agent)
}

// logBlocks logs prompts that are blocked from now on.
func (e *Entry) logBlocks(blocks []blame.Block, source string) {
	for _, b := range blocks {
		e.events.Add("blocked", "", "", source)
		e.log.Warn("messages blocked", "parts", b.Parts, "from", source)
	}
}
