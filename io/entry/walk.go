package entry

import (
	"slices"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/rank"
	"pimentoseam/io/vmlist"
)

const maxClockSkew = 2 * time.Second // by which the clocks of two VMs may differ

// walk tries the upstreams in the key's order; each next one only if all before it have barred the key.
func (q *request) relayOnce() *fault.Error {
	var names []string
	ups := make(map[string]*upstream)
	owners, known := q.view.ownersAt(q.target.Name, q.run.Minted)
	if !known {
		return &fault.Error{Kind: fault.Unknown, Message: "the upstreams that owned this key are forgotten"}
	}
	for _, u := range owners {
		name := u.conf.Load().Name
		names = append(names, name)
		ups[name] = u
	}
	for i, name := range rank.Order(q.run.Key, names) {
		excluded, fail := q.tryOwner(ups[name], i+1 == len(names))
		if !excluded {
			return fail
		}
	}
	return fault.Retry("the key is barred at every upstream; use a new key", unavailableRetryAfter)
}

// leaves reports whether the upstream gets no new keys: its VM leaves, it is drained, or it is not configured any more.
func (q *request) isRetiring(up *upstream) bool {
	c := up.conf.Load()
	if c.Drain || q.entry.fleet.Load().state(c.Name) == vmlist.Leaving {
		return true
	}
	return !slices.Contains(q.view.targets[q.target.Name], up)
}

// prepareVisit sets whether the upstream is to bar the key if it has not seen it. Only the last
// one takes keys that another entry may have given on.
func (q *request) setTombstone(up *upstream, isLast bool) {
	if up.isAgentUnknown() {
		q.waitUntil(func() bool { return !up.isAgentUnknown() })
	}
	q.run.Tombstone = q.isRetiring(up)
	q.run.StoppedAt, q.run.NextStart = time.Time{}, time.Time{}
	if isLast {
		return
	}
	q.run.Tombstone = q.run.Tombstone || q.maybeBypassed(up.conf.Load().Name)
	q.applyHandover(up)
}

// passed reports whether another entry may have passed the upstream over and given the key to the
// next one, since the platform's list did not have its VM as live yet when the key was minted.
func (q *request) maybeBypassed(name string) bool {
	since := q.entry.fleet.Load().since(name)
	return q.run.Minted.Before(since.Add(maxListDelay + maxClockSkew))
}

// visit tries one upstream; it reports true if the key can't have run there and never will.
func (q *request) tryOwner(up *upstream, isLast bool) (bool, *fault.Error) {
	if up.cancel == nil {
		return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key was removed"}
	}
	if name := up.conf.Load().Name; q.entry.fleet.Load().state(name) == vmlist.Gone {
		return q.checkGoneOwner(up)
	}
	for {
		q.setTombstone(up, isLast)
		result := q.runAttempt(up)
		switch {
		case result.callerGone || result.fault == nil:
			return false, nil
		case result.tombstoned:
			return true, nil
		case !result.linkLost:
			return false, result.fault
		}
		isRelinked := q.awaitLink(up)
		if q.isHandedOver(up) {
			return true, nil
		}
		if !isRelinked {
			return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key is not reachable", RetryAfter: unavailableRetryAfter}
		}
		q.sink.reset()
	}
}

// withdrawn reports true if the key was minted after the VM was withdrawn, or after its agent had stopped.
func (q *request) checkGoneOwner(up *upstream) (bool, *fault.Error) {
	if !q.entry.isListFresh() {
		return false, &fault.Error{Kind: fault.Unknown, Message: "the VM list can't be read", RetryAfter: unavailableRetryAfter}
	}
	since := q.entry.fleet.Load().since(up.conf.Load().Name)
	if q.run.Minted.After(since.Add(maxClockSkew)) {
		return true, nil
	}
	if up.stop.Load() != nil {
		q.awaitLink(up)
	}
	if q.isHandedOver(up) {
		return true, nil
	}
	return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key was withdrawn"}
}

// await waits for a new link to up, since only that upstream can tell what became of the key.
func (q *request) awaitLink(up *upstream) bool {
	isLinked := q.waitUntil(func() bool { return up.link.Load() != nil || q.isHandedOver(up) })
	return isLinked && int(q.attemptNum) < maxAttempts && time.Until(q.deadline) > minRetryTime
}
