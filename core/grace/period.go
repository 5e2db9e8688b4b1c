package grace

import "time"

const (
	// maxExitTime is kept for the exit of the process itself.
	maxExitTime = 400 * time.Millisecond
	// maxReplyTime is kept before that for the answers to requests that have not ended by then.
	maxReplyTime = 200 * time.Millisecond
	// reservedShare is the largest part of the period that both may take. In the last sixth of the period, an upstream may still be at
	// work on a request that came early.
	reservedShare = 1.0 / 6
)

// Period is the time between the signal to stop and the end of a process. A nil Period is that of a process that goes on.
type Period struct {
	lateAt   time.Time
	answerBy time.Time
	end      time.Time
}

// New returns the Period of a process that got the signal at a time and will be killed after length. The load balancer sends it
// new connections for another delay.
func New(began time.Time, length, balancerDelay time.Duration) *Period {
	scale := min(1, reservedShare*length.Seconds()/(maxExitTime+maxReplyTime).Seconds())
	end := began.Add(length - time.Duration(scale*float64(maxExitTime)))
	return &Period{
		lateAt:   began.Add(min(balancerDelay, length/2)),
		answerBy: end.Add(-time.Duration(scale * float64(maxReplyTime))),
		end:      end,
	}
}

// LateAt returns the time from which the process takes no new connections.
func (p *Period) LateAt() time.Time { return p.lateAt }

// AnswerBy returns the time at which requests that have not ended are answered with what is known of them.
func (p *Period) AnswerBy() time.Time { return p.answerBy }

// End returns the time at which the process begins to exit.
func (p *Period) End() time.Time { return p.end }

// MayPass reports whether a request that must be answered by deadline may be passed on at a time. How long it takes isn't known, so
// a late one must fit in with all the time that its caller allows.
func (p *Period) MayPass(now, deadline time.Time) bool {
	return p == nil || now.Before(p.lateAt) || !deadline.After(p.answerBy)
}

// Bound returns the time by which a request that must be answered by deadline is answered.
func (p *Period) Bound(deadline time.Time) time.Time {
	if p == nil || deadline.Before(p.answerBy) {
		return deadline
	}
	return p.answerBy
}
