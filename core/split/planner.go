package split

import (
	"math"
	"time"
)

const (
	// priorShare is the share of engines that process prompts until a demand is known.
	priorShare = 0.58
	// target is the utilisation of the prompt engines that is aimed at; beyond it their queues
	// grow faster than a change of role can answer.
	target = 0.55
	// helpShare is what a decode engine adds in processing prompts, as a share of a prompt engine.
	helpShare = 0.25
	// keepShare is the least share of engines that generate outputs.
	keepShare = 0.33
	// riseTime and fallTime are the windows of the average that follows the demand up and down.
	riseTime = 3 * time.Second
	fallTime = 20 * time.Second
	// spare is by how much the wanted number must be exceeded before an engine is given back.
	spare = 1.2
	// settleTime is the time without traffic after which the demand is taken to be unknown.
	settleTime = 2 * time.Second
)

// Planner follows the demand of one service.
type Planner struct {
	average float64 // Prompt engines that the demand keeps busy.
	seen    time.Time
	began   time.Time // First demand.
}

// New returns a Planner that knows no demand.
func New() *Planner {
	return &Planner{}
}

// Observe takes the prompt work of the time since the last observation, in engine-seconds a second.
func (p *Planner) Observe(work float64) {
	now := time.Now()
	if p.seen.IsZero() {
		p.seen = now
		return
	}
	elapsed := now.Sub(p.seen)
	p.seen = now
	if p.began.IsZero() {
		if work == 0 {
			return
		}
		p.began = now
	}
	window := fallTime
	if work > p.average {
		window = riseTime
	}
	p.average += (work - p.average) * (1 - math.Exp(-elapsed.Seconds()/window.Seconds()))
}

// Known reports whether the demand has been seen for long enough to act on.
func (p *Planner) Known() bool {
	return !p.began.IsZero() && time.Since(p.began) > settleTime
}

// Demand returns the prompt engines that the demand keeps busy on average.
func (p *Planner) Demand() float64 {
	return p.average
}

// Want returns how many of n engines shall process prompts if now do so at present.
func (p *Planner) Want(n, now int) int {
	if n < 2 {
		return 0
	}
	most := n - max(1, int(math.Ceil(keepShare*float64(n))))
	if !p.Known() {
		// The demand is taken to be what the prior split is for, and is followed from there.
		want := min(most, int(math.Round(priorShare*float64(n))))
		p.average = target * (float64(want)*(1-helpShare) + helpShare*float64(n))
		return want
	}
	want := p.need(n, 1)
	if want < now {
		// Too few prompt engines cost more than too many, so they are given back late.
		want = min(now, p.need(n, spare))
	}
	return max(1, min(most, want))
}

// need returns the prompt engines at which the demand, times a margin, meets the target.
func (p *Planner) need(n int, margin float64) int {
	load := p.average * margin / target
	return int(math.Ceil((load - helpShare*float64(n)) / (1 - helpShare)))
}
