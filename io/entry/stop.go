package entry

import (
	"time"

	"pimentoseam/core/frame"
)

const (
	handoverPeriod  = time.Minute // after a planned stop began, in which unseen keys go to the next upstream
	maxStopDialWait = 200 * time.Millisecond
	maxVacancyGap   = time.Second // between two signs that no other agent has taken the place
)

// stop is a planned stop of an upstream's agent as this entry saw it, never changed once published.
type plannedStop struct {
	stoppedAt   time.Time // since when the agent barred unseen keys
	vacantAt    time.Time // of the last sign that no other agent has taken its place
	vacantUntil time.Time // until when no agent is known to have listened after it
	nextStart   time.Time // start of the agent that followed at once, zero if that is not known
	isFinal     bool      // an agent has followed, or that can't be told
}

// hearStop follows the heartbeats of the agents at this upstream.
func (u *upstream) observeBeat(m *frame.Beat, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.stop.Load()
	if !m.StoppedAt.IsZero() {
		if old == nil || !old.stoppedAt.Equal(m.StoppedAt) {
			u.stop.Store(&plannedStop{stoppedAt: m.StoppedAt})
		}
		return
	}
	if old == nil || old.isFinal {
		return
	}
	s := *old
	s.isFinal = true
	if !s.vacantUntil.IsZero() && now.Sub(s.vacantAt) < maxVacancyGap {
		s.nextStart = m.Start
	}
	u.stop.Store(&s)
}

// linkEnded notes that the stopping agent ran until now, unless its link had been silent before.
func (u *upstream) observeLinkEnd(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old, beat := u.stop.Load(), u.beat.Load()
	if old == nil || old.isFinal || beat == nil {
		return
	}
	s := *old
	s.vacantAt = now
	s.isFinal = now.Sub(time.Unix(0, u.lastBeatAt.Load())) > 2*beat.Period
	u.stop.Store(&s)
}

// dialRefused notes that nobody listened when a dial began.
func (u *upstream) observeDialRefused(dialStart time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.stop.Load()
	if old == nil || old.isFinal {
		return
	}
	s := *old
	if dialStart.Sub(s.vacantAt) < maxVacancyGap {
		s.vacantAt, s.vacantUntil = dialStart, dialStart
	} else {
		s.isFinal = true
	}
	u.stop.Store(&s)
}

// longestWait returns the longest time between two dials.
func (u *upstream) dialWaitLimit() time.Duration {
	if s := u.stop.Load(); s != nil && !s.isFinal && time.Since(s.stoppedAt) < handoverPeriod {
		return maxStopDialWait
	}
	return maxDialWait
}

// unknownAgent reports whether the link is new after a stop and its agent has not told yet who it is.
func (u *upstream) isAgentUnknown() bool {
	s := u.stop.Load()
	return s != nil && !s.isFinal && !s.vacantAt.IsZero() && u.link.Load() != nil
}

// handed reports whether the key never runs at the upstream: the stopping agent barred it unseen,
// and it is older than any agent that followed.
func (q *request) isHandedOver(up *upstream) bool {
	s := up.stop.Load()
	return s != nil && q.run.Minted.After(s.stoppedAt.Add(maxClockSkew)) && !q.run.Minted.After(s.vacantUntil)
}

// handOver has the upstream bar keys that were minted while its agent was stopped, or soon after.
func (q *request) applyHandover(up *upstream) {
	s := up.stop.Load()
	if s == nil || !q.run.Minted.Before(s.stoppedAt.Add(handoverPeriod)) {
		return
	}
	q.run.Tombstone = true
	if !s.nextStart.IsZero() {
		q.run.StoppedAt, q.run.NextStart = s.stoppedAt, s.nextStart
	}
}
