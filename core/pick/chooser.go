package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"pimentoseam/core/rank"
)

// Candidate is an upstream as one entry knows it, with the slots that the request's priority may use.
type Candidate struct {
	Name       string
	Role       string        // "mixed", "prefill" or "decode"
	Backlog    time.Duration // time to process the prompts that wait or run there
	Reported   int           // requests that run or wait there, as last reported
	Slots      int           // requests that it runs at once
	Unreported int           // requests sent by this entry since the report
}

// slots is the share of slots taken, above 1 when requests wait.
func (c *Candidate) slots() float64 {
	return float64(max(c.Reported+c.Unreported, 0)) / float64(max(c.Slots, 1))
}

// prompts is the load of a new prompt: the time that it waits, or the slots if those are scarcer.
func (c *Candidate) prompts() float64 {
	return max(c.slots(), c.Backlog.Seconds()/backlogUnit.Seconds())
}

// measure is a load by which candidates are compared.
type measure func(*Candidate) float64

// Chooser picks candidates; it is safe for concurrent use if its random source is.
type Chooser struct {
	choices int
	bound   float64
	room    float64
	random  func(n int) int
}

// Option changes a Chooser.
type Option func(*Chooser)

// WithChoices sets how many random candidates are compared; 0 compares all.
func WithChoices(n int) Option {
	return func(c *Chooser) { c.choices = n }
}

// WithAffinityBound sets the load above the mean, as a ratio, at which a cached prefix is given up; 0 turns affinity off.
func WithAffinityBound(ratio float64) Option {
	return func(c *Chooser) { c.bound = ratio }
}

// WithDecodeLimit sets the load of all decode engines at which no prefill engine is chosen; 0 turns the check off.
func WithDecodeLimit(load float64) Option {
	return func(c *Chooser) { c.room = load }
}

// WithRandom sets the source of random numbers below n.
func WithRandom(random func(n int) int) Option {
	return func(c *Chooser) { c.random = random }
}

// The roles that restrict what an engine does.
const (
	prefill = "prefill"
	decode  = "decode"
)

const (
	defaultChoices = 2
	defaultBound   = 1.25
	defaultRoom    = 1.0                    // load of a decode engine at which it has no room
	backlogUnit    = 500 * time.Millisecond // backlog that counts like all slots taken
	spare          = 0.1                    // load, so that an idle fleet does not break affinity
)

// New returns a Chooser that compares two random candidates and honours cached prefixes.
func New(opts ...Option) *Chooser {
	c := &Chooser{choices: defaultChoices, bound: defaultBound, room: defaultRoom, random: rand.IntN}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ChoosePrefill returns the index of the candidate that shall process a prompt, or -1 if there are none.
// Prefix names the start of the prompt; it is empty if no upstream can have it cached.
// While no decode engine has room for the output, a mixed engine goes before a prefill engine.
func (c *Chooser) ChoosePrefill(prefix string, all []Candidate) int {
	room := c.room == 0 || !slices.ContainsFunc(all, isMixed)
	for i := range all {
		if all[i].Role == decode && all[i].slots() < c.room {
			room = true
		}
	}
	return c.among(prefix, all, (*Candidate).prompts, func(a *Candidate) bool {
		return a.Role != decode && (a.Role != prefill || room)
	})
}

func isMixed(c Candidate) bool {
	return c.Role != prefill && c.Role != decode
}

// ChooseDecode returns the index of the candidate that shall generate the output, or -1 if there are none.
func (c *Chooser) ChooseDecode(all []Candidate) int {
	return c.among("", all, (*Candidate).slots, func(a *Candidate) bool { return a.Role != prefill })
}

// among picks one of the candidates that fit.
func (c *Chooser) among(prefix string, all []Candidate, load measure, fits func(*Candidate) bool) int {
	var indexes []int
	var kept []Candidate
	for i := range all {
		if fits(&all[i]) {
			indexes = append(indexes, i)
			kept = append(kept, all[i])
		}
	}
	i := c.pick(prefix, kept, load)
	if i < 0 {
		return -1
	}
	return indexes[i]
}

func (c *Chooser) pick(prefix string, all []Candidate, load measure) int {
	if len(all) == 0 {
		return -1
	}
	if prefix != "" && c.bound > 0 {
		if i := c.affine(prefix, all, load); i >= 0 {
			return i
		}
	}
	if c.choices == 0 || c.choices >= len(all) {
		return c.least(all, load)
	}
	best := c.random(len(all))
	for range c.choices - 1 {
		if next := c.random(len(all)); load(&all[next]) < load(&all[best]) {
			best = next
		}
	}
	return best
}

// affine returns the prefix's home by rendezvous hashing unless it is loaded beyond the bound.
func (c *Chooser) affine(prefix string, all []Candidate, load measure) int {
	home, weight, total := 0, uint64(0), 0.0
	for i := range all {
		total += load(&all[i])
		if w := rank.Weight(prefix, all[i].Name); w >= weight {
			home, weight = i, w
		}
	}
	mean := total / float64(len(all))
	if load(&all[home]) > c.bound*mean+spare {
		return -1
	}
	return home
}

// least returns the least loaded candidate, a random one of those that tie.
func (c *Chooser) least(all []Candidate, load measure) int {
	best, ties := 0, 1
	for i := 1; i < len(all); i++ {
		a, b := load(&all[i]), load(&all[best])
		if a < b {
			best, ties = i, 1
			continue
		}
		if a == b {
			ties++
			if c.random(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
