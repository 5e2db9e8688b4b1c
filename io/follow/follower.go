package follow

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	watchMost = 25 * time.Second       // Of one waiting call; the store allows 30 s.
	retryMin  = 250 * time.Millisecond // After the first failed call.
	restStep  = 50 * time.Millisecond  // Between looks whether the changes are still learned otherwise.
	// settleTime is the time after the first read in which others tell that they watch.
	settleTime = 250 * time.Millisecond
	retryMax   = 1 * time.Second // Keeps the store's return from being missed for long.
)

// Update is what was learned: all items below the prefix, or those that changed.
type Update struct {
	Whole    bool
	Items    []platform.Item
	Revision int64 // Of the store when it answered.
}

// Follower reads a prefix once and watches it from then on.
type Follower struct {
	store  *platform.Store
	log    *slog.Logger
	prefix string
	apply  func(Update)
	lost   func()
	pause  time.Duration
	wait   func() time.Duration
	rests  func() bool
	known  func() int64
	retry  func() time.Duration
	away   atomic.Bool
	heard  atomic.Int64 // Last success by uptime; 0 after a failure.
}

// Option changes a Follower.
type Option func(*Follower)

// WithPause sets the least time between two calls, so that many changes take few calls.
func WithPause(d time.Duration) Option {
	return func(f *Follower) { f.pause = d }
}

// WithWait sets how long a call waits for changes; it is asked before each call.
// A watch can fall silent, so this also bounds how late a change is seen.
func WithWait(wait func() time.Duration) Option {
	return func(f *Follower) { f.wait = wait }
}

// WithLost sets what is called whenever a call fails.
func WithLost(lost func()) Option {
	return func(f *Follower) { f.lost = lost }
}

// WithRest has the follower make no calls while rests reports that the changes are learned otherwise; it is
// asked before each call but the first. The follower then goes on from the revision that known returns.
func WithRest(rests func() bool, known func() int64) Option {
	return func(f *Follower) { f.rests, f.known = rests, known }
}

// WithRetry sets the longest time between calls that fail.
func WithRetry(most func() time.Duration) Option {
	return func(f *Follower) { f.retry = most }
}

// New returns a Follower that hands what it learns to apply, one update at a time.
func New(store *platform.Store, log *slog.Logger, prefix string, apply func(Update), opts ...Option) *Follower {
	f := &Follower{
		store: store, log: log, prefix: prefix, apply: apply, lost: func() {},
		wait: func() time.Duration { return watchMost }, rests: func() bool { return false }, known: func() int64 { return 0 },
		retry: func() time.Duration { return retryMax },
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := retryMin
	for ctx.Err() == nil {
		all, err := f.store.ReadAll(ctx, f.prefix, false)
		if err != nil {
			f.failed(ctx, err)
			proc.Sleep(ctx, proc.Jitter(retry))
			retry = min(2*retry, f.retry())
			f.rest(ctx)
			continue
		}
		retry = retryMin
		f.regained()
		f.heard.Store(proc.Uptime())
		f.apply(Update{Whole: true, Items: all.Items, Revision: all.Revision})
		proc.Sleep(ctx, settleTime)
		f.watch(ctx, all.Revision)
	}
}

// watch follows the changes after a revision until a call fails.
func (f *Follower) watch(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		if f.rest(ctx) {
			after = max(after, f.known())
		}
		items, next, err := f.store.Watch(ctx, f.prefix, after, min(f.wait(), watchMost))
		if err != nil {
			f.failed(ctx, err)
			return
		}
		f.heard.Store(proc.Uptime())
		after = next
		if len(items) > 0 {
			f.apply(Update{Items: items, Revision: next})
		}
		proc.Sleep(ctx, f.pause)
	}
}

// rest waits while the changes are learned otherwise and reports whether it did.
func (f *Follower) rest(ctx context.Context) bool {
	rested := false
	for ctx.Err() == nil && f.rests() {
		rested = true
		f.heard.Store(0)
		f.away.Store(false)
		proc.Sleep(ctx, restStep)
	}
	return rested
}

// Sees reports whether the store answered within a span and no call has failed since.
func (f *Follower) Sees(within time.Duration) bool {
	at := f.heard.Load()
	return at > 0 && time.Duration(proc.Uptime()-at) < within
}

// Away reports whether the store does not answer and nobody else is relied on.
func (f *Follower) Away() bool {
	return f.away.Load()
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.heard.Store(0)
	compacted := new(platform.CompactedError)
	if errors.As(err, &compacted) {
		f.log.Info("history lost", "prefix", f.prefix)
		return
	}
	f.lost()
	if f.away.CompareAndSwap(false, true) {
		f.log.Warn("store lost", "prefix", f.prefix, "err", err)
	}
}

func (f *Follower) regained() {
	if f.away.CompareAndSwap(true, false) {
		f.log.Info("store regained", "prefix", f.prefix)
	}
}
