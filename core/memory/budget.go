package memory

import (
	"sync"
	"time"
)

// Kind is what memory is held for.
type Kind string

// The kinds of held memory.
const (
	Connection Kind = "connection"
	Head       Kind = "head" // A request's parsed head and what its exchange needs.
	Body       Kind = "body"
	Response   Kind = "response" // A response of which the caller hasn't accepted all.
)

// Kinds lists the kinds of held memory.
func Kinds() []Kind { return []Kind{Connection, Head, Body, Response} }

// State is what a connection does.
type State string

// The states of a connection.
const (
	Waiting State = "waiting" // For a request head or the rest of one.
	Reading State = "reading" // A request's body.
	Busy    State = "busy"    // With a request that has been read.
	Writing State = "writing" // A response to a caller that hasn't accepted the last part yet.
	// Refused stands for a request that was answered without running and whose body, or the end of its connection, is due.
	Refused State = "refused"
)

// Budget bounds what all connections hold together.
type Budget struct {
	limits limits

	mu          sync.Mutex
	held        map[Kind]int64
	largeBodies int64
	newLarge    int64 // The part of largeBodies of connections that have not completed a request yet.
	accounts    map[*Account]bool
	evicted     int // Accounts that were evicted and are not closed yet.
}

// New returns the Budget of a VM with the given memory in megabytes and descriptors, 0 for no bound.
func New(megabytes, files int64) *Budget {
	return newBudget(newLimits(megabytes, files))
}

// NewSmall returns the Budget of a listener that gets few connections and no bodies.
func NewSmall(connections int) *Budget {
	return newBudget(limits{connections: connections})
}

func newBudget(l limits) *Budget {
	return &Budget{limits: l, held: make(map[Kind]int64), accounts: make(map[*Account]bool)}
}

// Account is what one connection holds, with what it has done.
type Account struct {
	budget  *Budget
	evict   func(State)
	state   State
	since   time.Time // The last completed request, or the start of the connection.
	moved   time.Time // The last progress of the body or response.
	served  bool      // A request has been completed.
	evicted bool
	// evictedIn is the state in which the connection was evicted.
	evictedIn State
	held      map[Kind]int64
}

// MaxConnections returns the limit of open connections, 0 for none.
func (b *Budget) MaxConnections() int { return b.limits.connections }

// Open returns an account for a new connection, or nil if there is no room for it. It evicts another connection if that
// makes room: it calls that one's evict function with what it was doing, which must make its owner call Close soon.
func (b *Budget) Open(now time.Time, evict func(State)) *Account {
	b.mu.Lock()
	a := &Account{budget: b, evict: evict, state: Waiting, since: now, moved: now, held: make(map[Kind]int64)}
	var victim *Account
	if limit := b.limits.connections; limit > 0 && len(b.accounts)-b.evicted >= limit {
		victim = b.oldest(&need{account: a, kind: Connection, more: connectionCost}, now)
		// Connections that are closing may be as many as the limit allows, lest a flood of new ones outruns their end.
		if victim == nil || b.evicted >= max(1, limit/closingShare) {
			b.mu.Unlock()
			return nil
		}
		b.markEvicted(victim)
	}
	b.accounts[a] = true
	b.add(a, Connection, connectionCost)
	b.mu.Unlock()
	if victim != nil {
		victim.evict(victim.evictedIn)
	}
	return a
}

// closingShare is the part of the connections, 1 in so many, that may be closing while others take their place.
const closingShare = 8

// Close ends the account and releases all that it holds.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accounts[a] {
		return
	}
	for kind, n := range a.held {
		b.add(a, kind, -n)
	}
	if a.evicted {
		b.evicted--
	}
	delete(b.accounts, a)
}

// Reserve raises what the account holds of a kind to size if there is room for it. Otherwise, it evicts another
// connection if that would make room. The caller may try again after a while; retry is false if that is of no use.
func (a *Account) Reserve(kind Kind, size int64, now time.Time) (granted, retry bool) {
	b := a.budget
	b.mu.Lock()
	if a.evicted {
		b.mu.Unlock()
		return false, false
	}
	more := size - a.held[kind]
	if b.fits(a, kind, more) {
		b.add(a, kind, max(0, more))
		b.mu.Unlock()
		return true, false
	}
	retry = b.couldFit(a, kind, size)
	var victim *Account
	if retry && b.evictedBytes(kind) < more {
		n := &need{account: a, kind: kind, more: more}
		if victim = b.largestStalled(n, now); victim == nil && more <= smallNeed {
			victim = b.oldest(n, now)
		}
		if victim != nil {
			b.markEvicted(victim)
		}
	}
	b.mu.Unlock()
	if victim != nil {
		victim.evict(victim.evictedIn)
	}
	return false, retry
}

// Charge sets what the account holds of a kind without asking whether there is room. What is over the limit keeps others out.
func (a *Account) Charge(kind Kind, size int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.budget.accounts[a] {
		a.budget.add(a, kind, size-a.held[kind])
	}
}

// SetState records what the connection does from now on and returns what it did before.
func (a *Account) SetState(s State, now time.Time) State {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	before := a.state
	a.state, a.moved = s, now
	return before
}

// Progress records that the connection's body or response has made progress.
func (a *Account) Progress(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.moved = now
}

// Complete records that a request has been completed and its memory is free.
func (a *Account) Complete(now time.Time) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, kind := range []Kind{Head, Body, Response} {
		b.add(a, kind, -a.held[kind])
	}
	a.state, a.since, a.moved, a.served = Waiting, now, now, true
}

// Evicted reports whether the connection must give way.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Held returns the bytes that all connections hold of a kind.
func (b *Budget) Held(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[kind]
}

// Connections returns the number of open connections.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

// add changes what an account holds of a kind. The caller holds the lock.
func (b *Budget) add(a *Account, kind Kind, n int64) {
	before, after := a.held[kind], a.held[kind]+n
	if kind == Body {
		b.largeBodies += large(after) - large(before)
		if !a.served {
			b.newLarge += large(after) - large(before)
		}
	}
	a.held[kind] = after
	b.held[kind] += n
}

// large returns the size of a body if it is large, else 0.
func large(size int64) int64 {
	if size > smallBody {
		return size
	}
	return 0
}
