package gate

import (
	"time"

	"pimentoseam/core/beat"
)

// demand follows how much prompt work the callers of all entries ask for.
type demand struct {
	seen map[string]sample
}

// sample is an entry's count of asked work at a moment.
type sample struct {
	start  int64 // Of the entry's process.
	prompt uint64
	at     time.Time
}

// rate returns the prompt work asked for since the last call, in engine-seconds a second.
func (d *demand) rate(g *Gate) float64 {
	now := time.Now()
	total := d.one(g.set().Name, g.began.UnixNano(), g.prompted.Load(), now)
	for _, p := range g.gossip.Peers() {
		if p.Alive() {
			total += d.peer(p.Beat, now)
		}
	}
	return total
}

func (d *demand) peer(b *beat.Beat, now time.Time) float64 {
	return d.one(b.Name, b.Start, b.Demand.Prompt, now)
}

func (d *demand) one(name string, start int64, prompt uint64, now time.Time) float64 {
	if d.seen == nil {
		d.seen = make(map[string]sample)
	}
	old, ok := d.seen[name]
	d.seen[name] = sample{start: start, prompt: prompt, at: now}
	elapsed := now.Sub(old.at).Milliseconds()
	if !ok || old.start != start || prompt < old.prompt || elapsed <= 0 {
		return 0
	}
	return float64(prompt-old.prompt) / float64(elapsed)
}
