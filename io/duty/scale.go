package duty

import (
	"context"
	"time"

	"pimentoseam/core/scale"
	"pimentoseam/platform"
)

// observeInterval is the time between two observations of the demand, which changes over seconds.
const observeInterval = time.Second

// scaling is the state of a subject under the present token.
type scaling struct {
	planner *scale.Planner
	sent    int // The number that the provider has accepted; 0 for none.
}

// scale observes the demand and sends the next number of upstreams that the provider doesn't know yet.
func (r *Runner) scale(ctx context.Context, token int64) {
	now := r.Clock.Now()
	if r.scaledToken != token {
		r.scaledToken, r.scalings = token, make(map[scale.Subject]*scaling)
	}
	if now < r.nextObserve {
		return
	}
	r.nextObserve = now + observeInterval
	for subject, demand := range r.Demands() {
		s := r.scalings[subject]
		if s == nil {
			s = &scaling{planner: scale.New(demand.Current)}
			r.scalings[subject] = s
		}
		s.planner.Observe(demand.Busy, now)
		if desired, ok := s.planner.Desired(demand.Rules, now); ok && desired != s.sent && r.sendScale(ctx, subject, desired) {
			s.sent = desired
		}
	}
}

// sendScale sends the number of upstreams of a subject and reports whether the provider has accepted it.
func (r *Runner) sendScale(ctx context.Context, subject scale.Subject, desired int) bool {
	now := r.Clock.Now()
	if now < r.scalePace.next {
		return false
	}
	token, deadline := r.tenure.Begin(now)
	if token == 0 {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, deadline-now)
	defer cancel()
	err := r.Cloud.Scale(callCtx, platform.Holder{Name: r.Name, Token: token}, subject.Service, subject.Zone, desired, func() bool { return r.Clock.Now() < deadline })
	r.settle(&r.scalePace, token, err)
	r.Log.Info("scale", "service", subject.Service, "zone", subject.Zone, "desired", desired, "token", token, "err", err)
	return err == nil
}
