package place

import (
	"time"

	"pimentoseam/core/curve"
)

// Speed describes the performance of engines, from which the Placer estimates times.
type Speed struct {
	PrefillRate     float64       // Prompt tokens that a prefill engine processes in a millisecond.
	DecodeShare     float64       // Prompt rate of a decode engine as a share of PrefillRate.
	ChunkTokens     int           // Prompt tokens that a prefill engine processes in one step.
	StepTime        time.Duration // Fixed time of one engine step.
	RequestStepTime time.Duration // Time that each running request adds to a step.
	AttentionTime   time.Duration // Attention time of a prefill engine for a million token pairs.
	TransferSetup   time.Duration // Fixed time before a KV cache transfer.
	RoundTrip       time.Duration // Network round trip to another VM.
}

// defaultSpeed is the default performance model of an engine. Its figures, except for the step times, are those
// that operators state for their engines.
var defaultSpeed = Speed{
	PrefillRate: 61.8, DecodeShare: 0.5, ChunkTokens: 1024,
	StepTime: 3090 * time.Microsecond, RequestStepTime: 17 * time.Microsecond, AttentionTime: 367 * time.Microsecond,
	TransferSetup: 1700 * time.Microsecond, RoundTrip: 2 * time.Millisecond,
}

// attentionUnit is the number of token pairs that Speed.AttentionTime refers to.
const attentionUnit = 1e6

// PrefillTime returns how long an engine takes to process a prompt of which cached tokens are in its KV cache. It
// counts at least one uncached token. model is what was learned of the service's engines, nil for nothing.
func (s *Speed) PrefillTime(e *Engine, model *curve.Model, prompt, cached int) time.Duration {
	p := curve.Prompt{Uncached: max(1, prompt-cached), Cached: cached}
	if model == nil || !model.IsLearned() {
		return time.Duration(e.slowness() * s.statedTime(e, p))
	}
	work := float64(model.Time(p))
	if !e.PrefillOnly {
		steps := (p.Uncached + s.decodeChunk() - 1) / s.decodeChunk()
		work = work/s.DecodeShare + float64(steps*e.Running.Requests)*float64(s.RequestStepTime)
	}
	return time.Duration(e.slowness() * work)
}

// decodeChunk returns the number of prompt tokens that a decode engine processes in one step, a quarter of a prefill engine's.
func (s *Speed) decodeChunk() int {
	return s.ChunkTokens / 4
}

// statedTime returns how many nanoseconds an engine takes for a prompt by the figures that operators state. It counts at least
// one uncached token.
func (s *Speed) statedTime(e *Engine, p curve.Prompt) float64 {
	uncached := max(1, p.Uncached)
	rate, chunk, step := s.PrefillRate, s.ChunkTokens, s.StepTime
	if !e.PrefillOnly {
		rate *= s.DecodeShare
		chunk = s.decodeChunk()
		step += time.Duration(e.Running.Requests) * s.RequestStepTime
	}
	steps := (uncached + chunk - 1) / chunk
	work := float64(uncached) / rate * float64(time.Millisecond)
	pairs := float64(uncached) * (float64(p.Cached) + float64(uncached)/2) / attentionUnit
	work += pairs * float64(s.AttentionTime) * s.PrefillRate / rate
	return work + float64(steps)*float64(step)
}

// copyCost returns the cost of copying tokens that another engine has cached; see copyWeight.
func (s *Speed) copyCost(tokens int) time.Duration {
	return time.Duration(copyWeight * float64(tokens) / s.PrefillRate * float64(time.Millisecond))
}

// TransferTime returns how long the KV cache of some tokens takes from one engine to another. Between
// availability zones the data takes twice as long, but not the setup. Without a known bandwidth, when linkMbps
// is 0 or less, only the setup counts.
func (s *Speed) TransferTime(tokens, tokenBytes int, linkMbps float64, crossZone bool) time.Duration {
	if linkMbps <= 0 {
		return s.TransferSetup
	}
	bits := float64(tokens) * float64(tokenBytes) * 8
	if crossZone {
		bits *= 2
	}
	return s.TransferSetup + time.Duration(bits/(linkMbps*1e6)*float64(time.Second))
}
