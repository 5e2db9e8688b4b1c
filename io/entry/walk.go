package entry

import (
	"slices"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/rank"
	"pimentoseam/io/vmlist"
)

const clockSkew = 2 * time.Second // by which the clocks of two VMs may differ

// walk tries the upstreams in the key's order; each next one only if all before it have barred the key.
func (q *request) walk() *fault.Error {
	var names []string
	ups := make(map[string]*upstream)
	owners, ok := q.view.ownersAt(q.target.Name, q.run.Minted)
	if !ok {
		return &fault.Error{Kind: fault.Unknown, Message: "the upstreams that owned this key are forgotten"}
	}
	for _, u := range owners {
		name := u.conf.Load().Name
		names = append(names, name)
		ups[name] = u
	}
	for i, name := range rank.Order(q.run.Key, names) {
		next, fail := q.visit(ups[name], i+1 == len(names))
		if !next {
			return fail
		}
	}
	return fault.Retry("the key is barred at every upstream; use a new key", noneRetry)
}

// leaves reports whether the upstream gets no new keys: its VM leaves, it is drained, or it is not configured any more.
func (q *request) leaves(up *upstream) bool {
	c := up.conf.Load()
	if c.Drain || q.entry.fleet.Load().state(c.Name) == vmlist.Leaving {
		return true
	}
	return !slices.Contains(q.view.targets[q.target.Name], up)
}

// prepareVisit sets whether the upstream is to bar the key if it has not seen it. Only the last
// one takes keys that another entry may have given on.
func (q *request) prepareVisit(up *upstream, last bool) {
	if up.unknownAgent() {
		q.wait(func() bool { return !up.unknownAgent() })
	}
	q.run.Tombstone = q.leaves(up)
	q.run.StoppedAt, q.run.NextStart = time.Time{}, time.Time{}
	if last {
		return
	}
	q.run.Tombstone = q.run.Tombstone || q.passed(up.conf.Load().Name)
	q.handOver(up)
}

// passed reports whether another entry may have passed the upstream over and given the key to the
// next one, since the platform's list did not have its VM as live yet when the key was minted.
func (q *request) passed(name string) bool {
	since := q.entry.fleet.Load().since(name)
	return q.run.Minted.Before(since.Add(listLag + clockSkew))
}

// visit tries one upstream; it reports true if the key can't have run there and never will.
func (q *request) visit(up *upstream, last bool) (bool, *fault.Error) {
	if up.cancel == nil {
		return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key was removed"}
	}
	if name := up.conf.Load().Name; q.entry.fleet.Load().state(name) == vmlist.Gone {
		return q.withdrawn(up)
	}
	for {
		q.prepareVisit(up, last)
		result := q.try(up)
		switch {
		case result.gone || result.fault == nil:
			return false, nil
		case result.barred:
			return true, nil
		case !result.lost:
			return false, result.fault
		}
		back := q.await(up)
		if q.handed(up) {
			return true, nil
		}
		if !back {
			return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key is not reachable", RetryAfter: noneRetry}
		}
		q.sink.reset()
	}
}

// withdrawn reports true if the key was minted after the VM was withdrawn, or after its agent had stopped.
func (q *request) withdrawn(up *upstream) (bool, *fault.Error) {
	if !q.entry.listFresh() {
		return false, &fault.Error{Kind: fault.Unknown, Message: "the VM list can't be read", RetryAfter: noneRetry}
	}
	since := q.entry.fleet.Load().since(up.conf.Load().Name)
	if q.run.Minted.After(since.Add(clockSkew)) {
		return true, nil
	}
	if up.stop.Load() != nil {
		q.await(up)
	}
	if q.handed(up) {
		return true, nil
	}
	return false, &fault.Error{Kind: fault.Unknown, Message: "the upstream of this key was withdrawn"}
}

// await waits for a new link to up, since only that upstream can tell what became of the key.
func (q *request) await(up *upstream) bool {
	linked := q.wait(func() bool { return up.link.Load() != nil || q.handed(up) })
	return linked && int(q.attempt) < maxAttempts && time.Until(q.deadline) > retryOverhead
}
