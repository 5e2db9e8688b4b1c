package memory

import "time"

const (
	// stallTime is how long a body must have made no progress to be evicted under pressure. It exceeds the pauses of a
	// process that has a tenth of a core.
	stallTime = 500 * time.Millisecond
	// firstTime is how long a new connection may take until its first request before it gives way first. Without it, a new caller would
	// give way to the next connection of a crowd that completes requests.
	firstTime = 250 * time.Millisecond
	// unreadTime is how long a caller must have accepted nothing of its response to be evicted under pressure. It is longer,
	// since the request has run.
	unreadTime = 1500 * time.Millisecond
)

// total returns what all connections hold. The caller holds the lock, as in all functions below.
func (b *Budget) total() int64 {
	var n int64
	for _, held := range b.held {
		n += held
	}
	return n
}

// fits reports whether an account may hold so much more of a kind.
func (b *Budget) fits(a *Account, kind Kind, more int64) bool {
	if b.limits.total == 0 || more <= 0 {
		return true
	}
	if b.total()+more > b.limits.total {
		return false
	}
	switch kind {
	case Head:
		return b.held[Head]+more <= b.limits.heads
	case Body:
		grown := large(a.held[Body]+more) - large(a.held[Body])
		return b.largeBodies+grown <= b.limits.largeBodies && (a.served || grown == 0 || b.newLarge+grown <= b.limits.newLarge)
	}
	return true
}

// couldFit reports whether so much of a kind could fit if nothing else were held.
func (b *Budget) couldFit(a *Account, kind Kind, size int64) bool {
	switch {
	case kind == Head && size > b.limits.heads, kind == Body && large(size) > b.limits.largeBodies, kind == Body && !a.served && large(size) > b.limits.newLarge:
		return false
	}
	return a.held[Connection]+a.held[Head]+size <= b.limits.total
}

// evictedBytes returns what evicted connections still hold of a kind, which is free soon.
func (b *Budget) evictedBytes(kind Kind) int64 {
	var n int64
	if b.evicted > 0 {
		for a := range b.accounts {
			if a.evicted {
				n += a.held[kind]
			}
		}
	}
	return n
}

// need is what an account asks for.
type need struct {
	account *Account
	kind    Kind
	more    int64
}

// isHelpedBy reports whether the end of a connection would bring the need closer to fitting. If the bound of its kind is reached, only
// connections that hold memory of that kind count; the others would lose their responses in vain.
func (n *need) isHelpedBy(a *Account) bool {
	b := n.account.budget
	switch n.kind {
	case Head:
		return b.held[Head]+n.more <= b.limits.heads || a.held[Head] > 0
	case Body:
		held := n.account.held[Body]
		grown := large(held+n.more) - large(held)
		switch {
		case b.largeBodies+grown > b.limits.largeBodies:
			return large(a.held[Body]) > 0
		case !n.account.served && grown > 0 && b.newLarge+grown > b.limits.newLarge:
			return large(a.held[Body]) > 0 && !a.served
		}
	}
	return true
}

// largestStalled returns the connection that holds most of those that don't make progress and help the need, or nil. Large bodies
// of other callers that go on aren't evicted, only refused at their start.
func (b *Budget) largestStalled(n *need, now time.Time) *Account {
	var victim *Account
	for a := range b.accounts {
		if a != n.account && !a.evicted && a.isStalled(now) && n.isHelpedBy(a) && (victim == nil || a.size() > victim.size()) {
			victim = a
		}
	}
	return victim
}

// oldest returns the connection that gives way to a new one or to a small need, or nil: of those with the lowest rank that help the
// need the one that has gone longest without completing a request. If none waits for a request, it returns the largest stalled one.
func (b *Budget) oldest(n *need, now time.Time) *Account {
	var victim *Account
	lowest := 0
	for a := range b.accounts {
		r := a.rank(now)
		if a == n.account || a.evicted || r < 0 || !n.isHelpedBy(a) || (victim != nil && (r > lowest || r == lowest && !a.since.Before(victim.since))) {
			continue
		}
		victim, lowest = a, r
	}
	if victim == nil {
		victim = b.largestStalled(n, now)
	}
	return victim
}

// rank returns the order in which connections give way to new ones; it is negative for those that don't.
func (a *Account) rank(now time.Time) int {
	switch {
	case a.state == Refused:
		return 0
	case a.state != Waiting:
		return -1
	case !a.served && now.Sub(a.since) > firstTime:
		return 1
	case a.served:
		return 2
	}
	return 3
}

func (b *Budget) markEvicted(a *Account) {
	a.evicted, a.evictedIn = true, a.state
	b.evicted++
}

// isStalled reports whether the connection holds memory and its caller makes no progress.
func (a *Account) isStalled(now time.Time) bool {
	switch a.state {
	case Reading:
		return now.Sub(a.moved) > stallTime
	case Writing:
		return now.Sub(a.moved) > unreadTime
	}
	return false
}

// size returns what the account holds.
func (a *Account) size() int64 {
	return a.held[Connection] + a.held[Head] + a.held[Body] + a.held[Response]
}
