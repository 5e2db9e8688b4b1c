package entry

import (
	"time"

	"pimentoseam/core/frame"
)

const (
	handoverPeriod    = time.Minute            // New keys go to the next owner until this long after a planned stop began.
	maxStopDialWait   = 200 * time.Millisecond // Maximum wait between two dials in the handover period.
	maxObservationGap = time.Second            // An agent can't start and stop unobserved between two observations closer than this.
)

// plannedStop is what this entry observed of a planned stop of an upstream's agent. It is immutable once
// published.
type plannedStop struct {
	stoppedAt         time.Time // When the agent began to reject new keys.
	noSuccessorAt     time.Time // The last observation that no other agent had replaced it.
	lastRefusedDialAt time.Time // The start of the last refused dial, until which no agent listened; zero if there was none.
	nextStart         time.Time // The start time of the agent that followed directly, zero if it isn't known.
	isFinal           bool      // Another agent has followed, or may have followed unobserved.
}

// observeBeat updates the planned stop from a heartbeat of the agent that runs now.
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
	if !s.lastRefusedDialAt.IsZero() && now.Sub(s.noSuccessorAt) < maxObservationGap {
		s.nextStart = m.Start
	}
	u.stop.Store(&s)
}

// observeLinkEnd records that the stopping agent ran until now. If its heartbeats had ceased earlier, another
// agent may have followed unobserved.
func (u *upstream) observeLinkEnd(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old, beat := u.stop.Load(), u.beat.Load()
	if old == nil || old.isFinal || beat == nil {
		return
	}
	s := *old
	s.noSuccessorAt = now
	s.isFinal = now.Sub(time.Unix(0, u.lastBeatAt.Load())) > 2*beat.Period
	u.stop.Store(&s)
}

// observeDialRefused records that no agent listened when a dial began.
func (u *upstream) observeDialRefused(dialStart time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.stop.Load()
	if old == nil || old.isFinal {
		return
	}
	s := *old
	if dialStart.Sub(s.noSuccessorAt) < maxObservationGap {
		s.noSuccessorAt, s.lastRefusedDialAt = dialStart, dialStart
	} else {
		s.isFinal = true
	}
	u.stop.Store(&s)
}

// dialWaitLimit returns the maximum wait between two dials, which is short during a handover so that the
// observations are at most maxObservationGap apart.
func (u *upstream) dialWaitLimit() time.Duration {
	if s := u.stop.Load(); s != nil && !s.isFinal && time.Since(s.stoppedAt) < handoverPeriod {
		return maxStopDialWait
	}
	return maxDialWait
}

// awaitsFirstHeartbeat reports whether the link was made after a planned stop and its agent has not yet sent a
// heartbeat.
func (u *upstream) awaitsFirstHeartbeat() bool {
	s := u.stop.Load()
	return s != nil && !s.isFinal && !s.noSuccessorAt.IsZero() && u.link.Load() != nil
}

// isHandedOver reports whether the key never runs at the upstream: it was minted after the stopping agent
// began to reject new keys, and before any later agent started.
func (q *request) isHandedOver(up *upstream) bool {
	s := up.stop.Load()
	return s != nil && q.run.Minted.After(s.stoppedAt.Add(maxClockSkew)) && !q.run.Minted.After(s.lastRefusedDialAt)
}

// applyHandover has the upstream set a tombstone for a new key that was minted before the end of the handover
// period, since another entry may have sent it to the next owner.
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
