package split

import (
	"math"
	"time"
)

const (
	// priorShare is the share of engines that process prompts until a demand is known.
	priorShare = 0.6
	// target is the utilisation of the prompt engines that is aimed at; beyond it their queues
	// grow faster than a change of role can answer.
	target = 0.6
	// fill is the share of the decode engines' memory that outputs are to hold; beyond it requests
	// are preempted in bursts.
	fill = 0.78
	// keepShare is the least share of engines that generate outputs.
	keepShare = 0.25
	// riseTime and fallTime are the windows of the averages that follow the demand up and down.
	riseTime = 3 * time.Second
	fallTime = 20 * time.Second
	// burstTime is the window in which a burst of outputs is forgotten. Bursts are shorter than a change
	// of role takes, and who finds no place in one is late, while prompts can wait.
	burstTime = 60 * time.Second
	// spare is the number of prompt engines too many that are left as they are, since too few of
	// them cost more than too many.
	spare = 1
	// steadyTime is how long another split must be called for; an engine that restarts is back by then.
	steadyTime = 2500 * time.Millisecond
	// settleTime is the time with traffic before which the demand is not acted on.
	settleTime = 3 * time.Second
)

// Planner follows the demand of one service.
type Planner struct {
	prompt float64 // Prompt engines that the demand keeps busy.
	output float64 // Engines whose memory the outputs in progress fill.
	burst  float64 // The same in bursts.
	seen   time.Time
	began  time.Time // First demand.
	wished time.Time // Since when another split is called for; zero if none is.
	more   bool      // It has more prompt engines.
}

// New returns a Planner that knows no demand.
func New() *Planner {
	return &Planner{}
}

// Observe takes the prompt work of the time since the last observation, in engine-seconds a second,
// and the memory that outputs hold now, in engines.
func (p *Planner) Observe(prompt, output float64) {
	now := time.Now()
	if p.seen.IsZero() {
		p.seen = now
		return
	}
	elapsed := now.Sub(p.seen)
	p.seen = now
	if p.began.IsZero() && prompt > 0 {
		p.began = now
	}
	if !p.began.IsZero() {
		p.prompt = follow(p.prompt, prompt, elapsed, fallTime)
		p.output = follow(p.output, output, elapsed, fallTime)
		p.burst = follow(p.burst, output, elapsed, burstTime)
	}
}

// follow moves an average towards the newest value, faster up than down.
func follow(average, newest float64, elapsed, fall time.Duration) float64 {
	window := fall
	if newest > average {
		window = riseTime
	}
	return average + (newest-average)*(1-math.Exp(-elapsed.Seconds()/window.Seconds()))
}

// IsWarmedUp reports whether the demand has been seen for long enough to act on.
func (p *Planner) IsWarmedUp() bool {
	return !p.began.IsZero() && time.Since(p.began) > settleTime
}

// Demand returns the averages of what Observe took.
func (p *Planner) Demand() (prompt, output float64) {
	return p.prompt, max(p.output, p.burst)
}

// PrefillCount returns how many of n engines shall process prompts if now do so at present.
func (p *Planner) PrefillCount(n, now int) int {
	if n < 2 {
		return 0
	}
	most := n - max(1, int(math.Ceil(keepShare*float64(n))))
	if !p.IsWarmedUp() {
		// The demand is taken to be what the prior split is for, and is followed from there.
		want := min(most, int(math.Round(priorShare*float64(n))))
		p.prompt, p.output = target*float64(want), fill*float64(n-want)
		return want
	}
	want := max(1, min(most, p.need(n)))
	if want == now || (want < now && want+spare >= now) {
		p.wished = time.Time{}
		return now
	}
	if p.wished.IsZero() || p.more != (want > now) {
		p.wished, p.more = time.Now(), want > now
	}
	if time.Since(p.wished) < steadyTime {
		return now
	}
	return want
}

// need returns the number of prompt engines that the demand asks for. Outputs come first: engines
// whose memory is full preempt requests, and all of their work is done again.
func (p *Planner) need(n int) int {
	outputs := int(math.Ceil(max(p.output, p.burst) / fill))
	return min(int(math.Ceil(p.prompt/target)), n-outputs)
}
