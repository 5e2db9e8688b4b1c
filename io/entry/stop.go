package entry

import (
	"time"

	"pimentoseam/core/frame"
)

const (
	handover  = time.Minute // after a planned stop began, in which unseen keys go to the next upstream
	absentMax = 200 * time.Millisecond
	absentGap = time.Second // between two signs that no other agent has taken the place
)

// stop is a planned stop of an upstream's agent as this entry saw it, never changed once published.
type stop struct {
	left   time.Time // since when the agent barred unseen keys
	shown  time.Time // of the last sign that no other agent has taken its place
	absent time.Time // until when no agent is known to have listened after it
	next   time.Time // start of the agent that followed at once, zero if that is not known
	over   bool      // an agent has followed, or that can't be told
}

// hearStop follows the heartbeats of the agents at this upstream.
func (u *upstream) hearStop(m *frame.Beat, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.stop.Load()
	if !m.StoppedAt.IsZero() {
		if old == nil || !old.left.Equal(m.StoppedAt) {
			u.stop.Store(&stop{left: m.StoppedAt})
		}
		return
	}
	if old == nil || old.over {
		return
	}
	s := *old
	s.over = true
	if !s.absent.IsZero() && now.Sub(s.shown) < absentGap {
		s.next = m.Start
	}
	u.stop.Store(&s)
}

// linkEnded notes that the stopping agent ran until now, unless its link had been silent before.
func (u *upstream) linkEnded(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old, beat := u.stop.Load(), u.beat.Load()
	if old == nil || old.over || beat == nil {
		return
	}
	s := *old
	s.shown = now
	s.over = now.Sub(time.Unix(0, u.heard.Load())) > 2*beat.Period
	u.stop.Store(&s)
}

// dialRefused notes that nobody listened when a dial began.
func (u *upstream) dialRefused(begun time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.stop.Load()
	if old == nil || old.over {
		return
	}
	s := *old
	if begun.Sub(s.shown) < absentGap {
		s.shown, s.absent = begun, begun
	} else {
		s.over = true
	}
	u.stop.Store(&s)
}

// longestWait returns the longest time between two dials.
func (u *upstream) longestWait() time.Duration {
	if s := u.stop.Load(); s != nil && !s.over && time.Since(s.left) < handover {
		return absentMax
	}
	return dialMax
}

// unknownAgent reports whether the link is new after a stop and its agent has not told yet who it is.
func (u *upstream) unknownAgent() bool {
	s := u.stop.Load()
	return s != nil && !s.over && !s.shown.IsZero() && u.link.Load() != nil
}

// handed reports whether the key never runs at the upstream: the stopping agent barred it unseen,
// and it is older than any agent that followed.
func (q *request) handed(up *upstream) bool {
	s := up.stop.Load()
	return s != nil && q.run.Minted.After(s.left.Add(clockSkew)) && !q.run.Minted.After(s.absent)
}

// handOver has the upstream bar keys that were minted while its agent was stopped, or soon after.
func (q *request) handOver(up *upstream) {
	s := up.stop.Load()
	if s == nil || !q.run.Minted.Before(s.left.Add(handover)) {
		return
	}
	q.run.Tombstone = true
	if !s.next.IsZero() {
		q.run.StoppedAt, q.run.NextStart = s.left, s.next
	}
}
