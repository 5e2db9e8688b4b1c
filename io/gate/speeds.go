package gate

import (
	"math"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/curve"
	"pimentoseam/core/pace"
	"pimentoseam/core/place"
)

const (
	// minPromptTime is the expected time of a prompt from which its duration shows the engine's speed rather than that
	// of the network.
	minPromptTime = 15 * time.Millisecond
	// maxPromptBacklog is the largest backlog, as a share of that time, with which it does.
	maxPromptBacklog = 0.1
)

// curve returns what was learned of the engines of a service.
func (g *Gate) curve(service string) *curve.Curve {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.curves[service]
	if !ok {
		c = curve.New(g.placer.InitialTime)
		g.curves[service] = c
		g.meter.Gauge("ms per 1000 tokens "+service, func() float64 {
			_, token, _ := c.Model().Terms()
			return 1000 * token
		})
	}
	return c
}

// addPrefillWork adds a prompt to the work that callers request.
func (g *Gate) addPrefillWork(service string, p curve.Prompt) {
	g.prefillWork.Add(uint64(g.paces.Median() * float64(g.curve(service).Model().Time(p).Milliseconds())))
}

// recordPrompt records how long an engine took for a prompt, and queues that for the next alert. Prompts that waited or
// fetched parts from another engine show nothing of its speed.
func (g *Gate) recordPrompt(engine *upstream, promptTokens int, choice place.Choice, took time.Duration) {
	cached := reusedTokens(choice)
	p := alert.Prompt{Key: engine.key, Uncached: uint32(max(1, promptTokens-cached)), Cached: uint32(cached), Micros: uint32(min(took.Microseconds(), math.MaxUint32))}
	expected := g.curve(engine.info.Load().Service).Model().Time(curve.Prompt{Uncached: int(p.Uncached), Cached: cached})
	if choice.FetchFrom != nil || expected < minPromptTime || float64(choice.Prefill.Backlog) > maxPromptBacklog*float64(expected) {
		return
	}
	if !g.learnsSpeeds.Load() {
		g.recordPace(engine, float64(took)/float64(expected))
		return
	}
	g.learnPrompt(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.alertPrompts) < alert.MaxPrompts {
		g.alertPrompts = append(g.alertPrompts, p)
	}
}

// maxPaceRatio limits the ratio in an alert; the meter limits it further.
const maxPaceRatio = 1000

// recordPace records the ratio of the time that an engine took for a prompt to that of the stated model.
func (g *Gate) recordPace(engine *upstream, ratio float64) {
	g.paces.Observe(engine.key, ratio)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.alertPaces) < alert.MaxPaces {
		g.alertPaces = append(g.alertPaces, alert.Pace{Key: engine.key, Percent: uint32(100 * min(ratio, maxPaceRatio))})
	}
}

// recordStream records the mean pause between the first events of a stream, and queues the engine's speed for the next alert.
func (g *Gate) recordStream(engine *upstream, pause time.Duration) {
	if !g.learnsSpeeds.Load() {
		return
	}
	ratio := g.usualInterval(engine.info.Load().Service).Ratio(pause)
	g.streamPaces.Observe(engine.key, ratio)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.alertStreams) < alert.MaxStreams {
		g.alertStreams = append(g.alertStreams, alert.Pace{Key: engine.key, Percent: uint32(100 * ratio)})
	}
}

// usualInterval returns the usual pause between the events of a service's streams.
func (g *Gate) usualInterval(service string) *pace.Interval {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.intervals[service]
	if !ok {
		i = pace.NewInterval()
		g.intervals[service] = i
		g.meter.Gauge("ms between events "+service, func() float64 { return float64(i.Usual().Microseconds()) / 1000 })
	}
	return i
}

// learnPace learns from a speed relative to the stated model, as another entry has seen it.
func (g *Gate) learnPace(p alert.Pace) {
	if u := g.snapshot.Load().byKey[p.Key]; u != nil && !g.curve(u.info.Load().Service).Model().IsLearned() {
		g.paces.Observe(p.Key, float64(p.Percent)/100)
	}
}

// learnPrompt learns from how long an engine took for a prompt, as this entry or another one has seen it.
func (g *Gate) learnPrompt(p alert.Prompt) {
	u := g.snapshot.Load().byKey[p.Key]
	if u == nil {
		return
	}
	c, took := g.curve(u.info.Load().Service), time.Duration(p.Micros)*time.Microsecond
	prompt := curve.Prompt{Uncached: int(p.Uncached), Cached: int(p.Cached)}
	if model := c.Model(); model.IsLearned() {
		// Factors relative to the stated model would be wrong as soon as another one is learned.
		g.paces.Observe(p.Key, float64(took)/float64(model.Time(prompt)))
	}
	c.Observe(prompt, took, g.paces.Factor(p.Key)/g.paces.Median())
}
