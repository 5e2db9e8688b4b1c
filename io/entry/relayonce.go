package entry

import (
	"slices"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/rank"
	"pimentoseam/io/vmlist"
)

const maxClockSkew = 2 * time.Second // Maximum difference between the clocks of two VMs.

// relayOnce tries the owners of the idempotency key in rank order. It goes on to the next owner only if the
// key certainly never runs at any owner tried so far.
func (q *request) relayOnce() *fault.Error {
	if fail := q.checkCrashes(); fail != nil {
		q.mayHaveRun = true // An earlier request with the same key.
		return q.finalFault(fail)
	}
	defer q.endTrial()
	var names []string
	ups := make(map[string]*upstream)
	owners, known := q.view.ownersAt(q.target.Name, q.run.Minted)
	if !known {
		return &fault.Error{Kind: fault.Unknown, Message: "the upstreams that owned this key are no longer known"}
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
	return fault.Retry("the key is rejected by every upstream; use a new key", unavailableRetryAfter)
}

// takesNoNewKeys reports whether the upstream must not run new keys, because its VM is leaving, it is drained or
// it is no longer configured.
func (q *request) takesNoNewKeys(up *upstream) bool {
	c := up.conf.Load()
	if c.Drain || q.entry.fleet.Load().state(c.Name) == vmlist.Leaving {
		return true
	}
	return !slices.Contains(q.view.targets[q.target.Name], up)
}

// prepareRun sets the fields of the run that depend on the owner. It first waits for the first heartbeat of an
// agent that follows a planned stop. Then it sets whether the upstream must set a tombstone for the key if the
// key is new there: always if it takes no new keys, and if another entry may have skipped it. The last owner
// runs the key even if it may have been skipped, since no further owner can have got the key.
func (q *request) prepareRun(up *upstream, isLast bool) {
	if up.awaitsFirstHeartbeat() {
		q.waitUntil(func() bool { return !up.awaitsFirstHeartbeat() })
	}
	q.run.Tombstone = q.takesNoNewKeys(up)
	q.run.StoppedAt, q.run.NextStart = time.Time{}, time.Time{}
	if isLast {
		return
	}
	q.run.Tombstone = q.run.Tombstone || q.mayHaveBeenSkipped(up.conf.Load().Name)
	q.applyHandover(up)
}

// mayHaveBeenSkipped reports whether another entry may have skipped the upstream and sent the key to the next
// owner, because its VM list did not yet show the VM as live when the key was minted.
func (q *request) mayHaveBeenSkipped(name string) bool {
	since := q.entry.fleet.Load().since(name)
	return q.run.Minted.Before(since.Add(maxListDelay + maxClockSkew))
}

// tryOwner tries one owner of the key. It reports true if the key has not run there and never will, so that
// the next owner may be tried.
func (q *request) tryOwner(up *upstream, isLast bool) (bool, *fault.Error) {
	if up.cancel == nil {
		return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key is no longer configured"}
	}
	if name := up.conf.Load().Name; q.entry.fleet.Load().state(name) == vmlist.Gone {
		return q.checkGoneOwner(up)
	}
	for {
		q.prepareRun(up, isLast)
		result := q.runAttempt(up)
		switch {
		case result.callerGone || result.fault == nil:
			return false, nil
		case result.safeToRetry:
			return true, nil
		case !result.mayStillRun:
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

// checkGoneOwner handles an owner whose VM is gone. It reports true if the key was minted after the
// VM was gone or after its agent had stopped, so that it can't have run there.
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
	return false, &fault.Error{Kind: fault.Unknown, Message: "the VM of this key's upstream is gone"}
}

// awaitLink waits for a new link to up, since only its agent knows whether the key has run there. It reports
// whether another attempt can be made.
func (q *request) awaitLink(up *upstream) bool {
	isLinked := q.waitUntil(func() bool { return up.link.Load() != nil || q.isHandedOver(up) })
	return isLinked && int(q.attemptNum) < maxAttempts && time.Until(q.deadline) > minRetryTime
}
