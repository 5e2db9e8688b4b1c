package roles_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/roles"
)

// observe reports a constant demand every 2 s for the given duration.
func observe(p *roles.Planner, d roles.Demand, duration time.Duration) {
	for range int(duration / (2 * time.Second)) {
		p.Observe(d)
		time.Sleep(2 * time.Second)
	}
	p.Observe(d)
}

func TestNext(t *testing.T) {
	split := roles.Fleet{Prefill: 6, Decode: 6}
	tests := []struct {
		name   string
		opts   []roles.Option
		fleet  roles.Fleet
		demand roles.Demand
		want   roles.Role // role before the change, empty for no change
	}{
		{"idle", nil, split, roles.Demand{Prompt: 1, Output: 1}, ""},
		{"mixed engines absorb a shift", nil, roles.Fleet{Mixed: 12}, roles.Demand{Prompt: 7, Output: 2}, ""},
		{"a split that does not match the demand", nil, split, roles.Demand{Prompt: 7, Output: 1.5}, roles.Decode},
		{"the opposite mismatch", nil, split, roles.Demand{Prompt: 1.5, Output: 7}, roles.Prefill},
		{"a high mixed overhead", []roles.Option{roles.WithMixedOverhead(2)}, roles.Fleet{Mixed: 12}, roles.Demand{Prompt: 4, Output: 4}, roles.Mixed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := roles.New(test.opts...)
				observe(p, test.demand, time.Minute)
				got, _ := p.Next(test.fleet)
				if got.From != test.want {
					t.Errorf("got change %+v, want one from %q", got, test.want)
				}
			})
		})
	}
}

// TestDoubt checks that no change follows from outdated or too few observations, within the cooldown or
// from noise.
func TestDoubt(t *testing.T) {
	unmet, fleet := roles.Demand{Prompt: 7, Output: 1.5}, roles.Fleet{Prefill: 6, Decode: 6}
	synctest.Test(t, func(t *testing.T) {
		p := roles.New()
		observe(p, unmet, 10*time.Second)
		if c, ok := p.Next(fleet); ok {
			t.Errorf("got %+v after 10 s, want none", c)
		}
		observe(p, unmet, time.Minute)
		time.Sleep(time.Minute)
		if c, ok := p.Next(fleet); ok {
			t.Errorf("got %+v on observations a minute old, want none", c)
		}
		observe(p, unmet, time.Minute)
		if _, ok := p.Next(fleet); !ok {
			t.Error("got no change on a sustained demand")
		}
		if c, ok := p.Next(fleet); ok {
			t.Errorf("got %+v right after another, want a cooldown", c)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		p, fleet := roles.New(), roles.Fleet{Mixed: 12}
		random := rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			p.Observe(roles.Demand{Prompt: 3 + 3*random.Float64(), Output: 3 + 3*random.Float64()})
			if c, ok := p.Next(fleet); ok {
				t.Fatalf("got %+v under noise without a shift", c)
			}
			time.Sleep(2 * time.Second)
		}
	})
}
