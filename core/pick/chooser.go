package pick

import (
	"math/rand/v2"
	"slices"
	"time"

	"pimentoseam/core/rank"
)

// Candidate is the state of an upstream as known to one entry, for a request of one priority.
//
// A decode engine gets no prompts here. The decode engines of packages member, place and split also process prompts
// and correspond to the role "mixed".
type Candidate struct {
	Name             string
	Role             string        // "mixed", "prefill" or "decode".
	Backlog          time.Duration // Time to process the prompts that wait or run there.
	Reported         int           // Requests that wait or run there, as last reported; only those that use the slots counted in Slots.
	Slots            int           // Slots that the request's priority may use.
	UnreportedChange int           // Change of this entry's requests in flight there of any priority since the report; may be negative.
}

// slotLoad returns the share of slots in use, above 1 when requests wait.
func (c *Candidate) slotLoad() float64 {
	return float64(max(c.Reported+c.UnreportedChange, 0)) / float64(max(c.Slots, 1))
}

// prefillLoad returns the load that a new prompt meets: that of the slots or of the backlog, whichever is higher.
func (c *Candidate) prefillLoad() float64 {
	return max(c.slotLoad(), c.Backlog.Seconds()/fullBacklog.Seconds())
}

// loadFunc returns the load by which candidates are compared.
type loadFunc func(*Candidate) float64

// Chooser chooses candidates; it is safe for concurrent use if its random source is.
type Chooser struct {
	choices       int
	affinityBound float64
	decodeLimit   float64
	random        func(n int) int
}

// Option changes a Chooser.
type Option func(*Chooser)

// WithChoices sets how many random candidates are compared; 0 compares all.
func WithChoices(n int) Option {
	return func(c *Chooser) { c.choices = n }
}

// WithAffinityBound sets the ratio of an upstream's load to the mean load above which a prompt does not go to
// the owner of its prefix by rendezvous hashing; 0 turns affinity off.
func WithAffinityBound(ratio float64) Option {
	return func(c *Chooser) { c.affinityBound = ratio }
}

// WithDecodeLimit sets the load at which a decode engine has no capacity left, which ChoosePrefill takes into
// account; 0 turns that off.
func WithDecodeLimit(load float64) Option {
	return func(c *Chooser) { c.decodeLimit = load }
}

// WithRandom sets the source of random numbers below n.
func WithRandom(random func(n int) int) Option {
	return func(c *Chooser) { c.random = random }
}

// The roles of engines that only process prompts or only generate output. Engines of any other role do both.
const (
	prefill = "prefill"
	decode  = "decode"
)

const (
	defaultChoices       = 2
	defaultAffinityBound = 1.25
	defaultDecodeLimit   = 1.0                    // All slots in use.
	fullBacklog          = 500 * time.Millisecond // The backlog that counts as a load of 1, like all slots in use.
	affinitySlack        = 0.1                    // Load by which the owner may exceed the bound, so that affinity also works in an idle fleet.
)

// New returns a Chooser that compares two random candidates and prefers the owner of a prompt's prefix.
func New(opts ...Option) *Chooser {
	c := &Chooser{choices: defaultChoices, affinityBound: defaultAffinityBound, decodeLimit: defaultDecodeLimit, random: rand.IntN}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// ChoosePrefill returns the index of the candidate that should process a prompt, or -1 if there are none.
// The prefix identifies the start of the prompt; it is empty for a request without affinity.
// While no decode engine has capacity for the output, a prefill engine is chosen only if there is no mixed one.
func (c *Chooser) ChoosePrefill(prefix string, candidates []Candidate) int {
	usePrefill := c.decodeLimit == 0 || !slices.ContainsFunc(candidates, isMixed)
	for i := range candidates {
		if candidates[i].Role == decode && candidates[i].slotLoad() < c.decodeLimit {
			usePrefill = true
		}
	}
	return c.chooseFrom(prefix, candidates, (*Candidate).prefillLoad, func(a *Candidate) bool {
		return a.Role != decode && (a.Role != prefill || usePrefill)
	})
}

func isMixed(c Candidate) bool {
	return c.Role != prefill && c.Role != decode
}

// ChooseDecode returns the index of the candidate that should generate the output, or -1 if there are none.
func (c *Chooser) ChooseDecode(candidates []Candidate) int {
	return c.chooseFrom("", candidates, (*Candidate).slotLoad, func(a *Candidate) bool { return a.Role != prefill })
}

// chooseFrom returns the index of one of the eligible candidates, or -1 if there are none.
func (c *Chooser) chooseFrom(prefix string, candidates []Candidate, load loadFunc, isEligible func(*Candidate) bool) int {
	var indexes []int
	var eligible []Candidate
	for i := range candidates {
		if isEligible(&candidates[i]) {
			indexes = append(indexes, i)
			eligible = append(eligible, candidates[i])
		}
	}
	i := c.choose(prefix, eligible, load)
	if i < 0 {
		return -1
	}
	return indexes[i]
}

func (c *Chooser) choose(prefix string, candidates []Candidate, load loadFunc) int {
	if len(candidates) == 0 {
		return -1
	}
	if prefix != "" && c.affinityBound > 0 {
		if i := c.prefixOwner(prefix, candidates, load); i >= 0 {
			return i
		}
	}
	if c.choices == 0 || c.choices >= len(candidates) {
		return c.leastLoaded(candidates, load)
	}
	best := c.random(len(candidates))
	for range c.choices - 1 {
		if next := c.random(len(candidates)); load(&candidates[next]) < load(&candidates[best]) {
			best = next
		}
	}
	return best
}

// prefixOwner returns the owner of the prefix by rendezvous hashing, or -1 if its load is above the affinity bound.
// What the upstreams have cached is not known; sending a prefix to its owner each time makes it likely to be there.
func (c *Chooser) prefixOwner(prefix string, candidates []Candidate, load loadFunc) int {
	owner, maxWeight, total := 0, uint64(0), 0.0
	for i := range candidates {
		total += load(&candidates[i])
		if weight := rank.Weight(prefix, candidates[i].Name); weight >= maxWeight {
			owner, maxWeight = i, weight
		}
	}
	mean := total / float64(len(candidates))
	if load(&candidates[owner]) > c.affinityBound*mean+affinitySlack {
		return -1
	}
	return owner
}

// leastLoaded returns the candidate with the minimum load, a random one among equals.
func (c *Chooser) leastLoaded(candidates []Candidate, load loadFunc) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		a, b := load(&candidates[i]), load(&candidates[best])
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
