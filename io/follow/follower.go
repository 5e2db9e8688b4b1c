package follow

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentoseam/core/probe"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	maxWait        = 25 * time.Second      // Maximum wait of one watch call; the store allows 30 s.
	suspendRecheck = 50 * time.Millisecond // Interval between checks whether the follower is still suspended.
	// settleTime is the pause between the first read and the first watch, in which other processes can report
	// that they watch the prefix already.
	settleTime = 250 * time.Millisecond
)

// Update is the result of a read or a watch.
type Update struct {
	IsSnapshot bool            // Items are all items below the prefix, not only the changed ones.
	Items      []platform.Item // For a change, a deleted item has Removed set.
	Revision   int64           // Revision of the store that the update leads to.
}

// Follower reads all items below a prefix once and then watches the prefix.
type Follower struct {
	store       *platform.Store
	log         *slog.Logger
	prefix      string
	apply       func(Update)
	onFailure   func()
	pause       time.Duration
	wait        func() time.Duration
	suspended   func() bool
	revision    func() int64
	retryWait   func(previous time.Duration) time.Duration
	unavailable atomic.Bool
	lastSuccess atomic.Int64 // Uptime in nanoseconds at the last successful call; 0 after a failure, a compaction or a suspension.
}

// Option configures a Follower.
type Option func(*Follower)

// WithPause sets the pause between two watch calls, so that frequent changes need few calls.
func WithPause(d time.Duration) Option {
	return func(f *Follower) { f.pause = d }
}

// WithWait sets a function that returns how long the next watch call waits for changes. A watch can stop
// reporting changes without an error, so this also limits the delay until a change is seen.
func WithWait(wait func() time.Duration) Option {
	return func(f *Follower) { f.wait = wait }
}

// WithOnFailure sets a function that is called after each failed call.
func WithOnFailure(onFailure func()) Option {
	return func(f *Follower) { f.onFailure = onFailure }
}

// WithSuspend suspends the calls while suspended returns true, because the process learns of the changes from
// others; it is checked before each watch call and after each failed read, but not before the read that follows a
// failed watch. After a suspension, a watch continues from the revision that the function revision returns, unless
// the follower has seen a higher one.
func WithSuspend(suspended func() bool, revision func() int64) Option {
	return func(f *Follower) { f.suspended, f.revision = suspended, revision }
}

// WithRetryWait sets a function that returns the longest wait after a failed read, given the one before, 0 for none. The
// default is that of a process that probes the store for others.
func WithRetryWait(retryWait func(previous time.Duration) time.Duration) Option {
	return func(f *Follower) { f.retryWait = retryWait }
}

// New returns a Follower that calls apply with each update, one at a time.
func New(store *platform.Store, log *slog.Logger, prefix string, apply func(Update), opts ...Option) *Follower {
	f := &Follower{
		store: store, log: log, prefix: prefix, onFailure: func() {},
		apply: func(u Update) { proc.Guard(log, "update of "+prefix, func() { apply(u) }) },
		wait:  func() time.Duration { return maxWait }, suspended: func() bool { return false }, revision: func() int64 { return 0 },
		retryWait: func(previous time.Duration) time.Duration { return probe.Wait(0, 1, previous) },
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := time.Duration(0)
	for ctx.Err() == nil {
		all, err := f.store.ReadAll(ctx, f.prefix, false)
		if err != nil {
			f.handleError(ctx, err)
			retry = f.retryWait(retry)
			f.backOff(ctx, proc.Jitter(retry))
			f.waitSuspended(ctx)
			continue
		}
		retry = 0
		f.markAvailable()
		f.lastSuccess.Store(proc.Uptime())
		f.apply(Update{IsSnapshot: true, Items: all.Items, Revision: all.Revision})
		proc.Sleep(ctx, settleTime)
		f.watch(ctx, all.Revision)
	}
}

// watch applies the changes after a revision until a call fails or ctx ends.
func (f *Follower) watch(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		if f.waitSuspended(ctx) {
			after = max(after, f.revision())
		}
		items, next, err := f.store.Watch(ctx, f.prefix, after, min(f.wait(), maxWait))
		if err != nil {
			f.handleError(ctx, err)
			return
		}
		f.lastSuccess.Store(proc.Uptime())
		after = next
		if len(items) > 0 {
			f.apply(Update{Items: items, Revision: next})
		}
		proc.Sleep(ctx, f.pause)
	}
}

// backOff pauses for d, or until the follower is suspended.
func (f *Follower) backOff(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(end) && !f.suspended() {
		proc.Sleep(ctx, min(suspendRecheck, time.Until(end)))
	}
}

// waitSuspended blocks while the follower is suspended and reports whether it was.
func (f *Follower) waitSuspended(ctx context.Context) bool {
	waited := false
	for ctx.Err() == nil && f.suspended() {
		waited = true
		f.lastSuccess.Store(0)
		f.unavailable.Store(false)
		proc.Sleep(ctx, suspendRecheck)
	}
	return waited
}

// RespondedWithin reports whether the store responded within the last d and neither a failure nor a suspension
// followed.
func (f *Follower) RespondedWithin(d time.Duration) bool {
	last := f.lastSuccess.Load()
	return last > 0 && time.Duration(proc.Uptime()-last) < d
}

// IsUnavailable reports whether calls to the store fail while the follower isn't suspended.
func (f *Follower) IsUnavailable() bool {
	return f.unavailable.Load()
}

// handleError records a failed call. A compacted revision isn't a failure of the store: the prefix is read again.
func (f *Follower) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.lastSuccess.Store(0)
	compacted := new(platform.CompactedError)
	if errors.As(err, &compacted) {
		f.log.Info("store history compacted", "prefix", f.prefix)
		return
	}
	f.onFailure()
	if f.unavailable.CompareAndSwap(false, true) {
		f.log.Warn("store unavailable", "prefix", f.prefix, "err", err)
	}
}

// markAvailable records that the store responds again.
func (f *Follower) markAvailable() {
	if f.unavailable.CompareAndSwap(true, false) {
		f.log.Info("store available again", "prefix", f.prefix)
	}
}
