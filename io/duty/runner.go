package duty

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"pimentoseam/core/scale"
	"pimentoseam/core/tenure"
	"pimentoseam/core/window"
	"pimentoseam/io/meter"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// CallTimeout limits a call to the provider. A provider that is 50 times as slow as usual answers within some hundreds
	// of ms; the lease, renewed every 1.2 s, must outlast a call by the margin.
	CallTimeout = 1200 * time.Millisecond
	// stepInterval is the time between checks for work.
	stepInterval = 100 * time.Millisecond
	// minRetryWait and maxRetryWait limit the wait after a failed call to the store or the provider, which doubles each time.
	// Reports are due within 10 s, so several attempts must fit.
	minRetryWait = 300 * time.Millisecond
	maxRetryWait = 2 * time.Second
	// rateShare is the share of the calls that the provider accepts that this entry makes, in case a previous holder still calls.
	rateShare = 0.5
	// maxRefusals is the number of refusals after which a report is given up. The first may be due to an old token.
	maxRefusals = 3
	// patience is the time after the end of a window for which the holder waits for entries that don't respond. It leaves
	// enough of the 10 s for the record and the report.
	patience = 3 * time.Second
	// collectInterval is the time between two attempts to collect the counts of all entries.
	collectInterval = 400 * time.Millisecond
)

// Store is the part of platform.Store that is used here.
type Store interface {
	Era() int64
	Get(ctx context.Context, key string) (platform.Item, error)
	ReadAll(ctx context.Context, prefix string, stale bool) (platform.Page, error)
	Commit(ctx context.Context, conditions []platform.Condition, puts []platform.Put, remove []string) (int64, []platform.Item, error)
}

// Cloud is the part of platform.Cloud that is used here.
type Cloud interface {
	Usage(ctx context.Context, holder platform.Holder, window int64, counts map[string]int64, mayWrite func() bool) error
	Scale(ctx context.Context, holder platform.Holder, service, zone string, desired int, mayWrite func() bool) error
}

// Clock is a clock that goes on while the process or its VM is suspended.
type Clock interface {
	Now() time.Duration
	True() time.Time
}

// Config holds what a Runner works with.
type Config struct {
	Name     string // Of the VM.
	LeadKey  string // The key in the store that the holder's lease keeps.
	Rules    tenure.Rules
	Length   time.Duration // Of a window.
	Late     time.Duration // Time after the end of a window within which its report is due.
	CallRate float64       // Calls per second that the provider accepts; 0 if it isn't known.
	Store    Store
	Cloud    Cloud
	// Collect returns the counts of a window from all entries, and whether all known ones are covered. It is nil if no usage is
	// to be reported.
	Collect func(ctx context.Context, window int64) (counts map[string]int64, complete bool)
	// Demands returns the demand for each service that is to be scaled, by zone. It is nil if none is to be.
	Demands func() map[scale.Subject]scale.Demand
	Clock   Clock
	Log     *slog.Logger
	Meter   *meter.Meter
}

// Runner carries out the duties while this entry holds the lease.
type Runner struct {
	Config
	tenure *tenure.Tenure
	queue  *window.Queue
	done   chan struct{} // Closed when Run has returned.
	began  atomic.Bool

	resumed     int64                      // The token under which the records in the store were read.
	counts      map[int64]map[string]int64 // The counts of windows whose record isn't known to be in the store.
	nextCollect time.Duration
	nextStore   time.Duration
	storeWait   time.Duration
	usagePace   pace
	refusals    map[int64]int // By window.

	scaledToken int64 // The token that the scalings belong to.
	scalings    map[scale.Subject]*scaling
	nextObserve time.Duration
	scalePace   pace
}

// pace is when the next call of a duty may be made.
type pace struct {
	next time.Duration
	wait time.Duration // After the last call, if that failed.
}

// New returns a Runner for a process that starts now.
func New(c Config) *Runner {
	return &Runner{
		Config: c, tenure: tenure.New(c.Rules, c.Clock.Now()), queue: window.New(c.Length, c.Late, c.Clock.True()),
		done: make(chan struct{}), counts: make(map[int64]map[string]int64), refusals: make(map[int64]int),
	}
}

// Gain records that this entry has gained the lease under a token in an era of the store, valid until end.
func (r *Runner) Gain(token, era int64, end time.Duration) {
	r.queue.ObserveEra(era, r.Clock.True())
	r.tenure.Gain(token, era, end, r.Clock.Now())
	r.Meter.Count("duty holder changes")
	r.Log.Info("duties gained", "token", token, "era", era)
}

// Renew records that the lease is valid until end.
func (r *Runner) Renew(end time.Duration) {
	r.tenure.Renew(end)
}

// Lose records that the lease was lost.
func (r *Runner) Lose() {
	r.tenure.Lose()
}

// NeedsToken reports whether the provider refuses the present token, so that a new one is needed.
func (r *Runner) NeedsToken() bool {
	return r.tenure.IsRefused()
}

// Run carries out the duties until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	r.began.Store(true)
	defer close(r.done)
	for ctx.Err() == nil {
		r.step(ctx)
		proc.Sleep(ctx, stepInterval)
	}
}

// AwaitEnd waits until Run has returned, after its context has ended, so that no call is under way. The lease may be given
// up then.
func (r *Runner) AwaitEnd() {
	if r.began.Load() {
		<-r.done
	}
}

// step does what is due.
func (r *Runner) step(ctx context.Context) {
	now, era := r.Clock.Now(), r.Store.Era()
	r.queue.ObserveEra(era, r.Clock.True())
	r.tenure.ObserveEra(era, now)
	token := r.tenure.Token(now)
	if token == 0 {
		return
	}
	if r.Collect != nil {
		r.reportUsage(ctx, token)
	}
	if r.Demands != nil {
		r.scale(ctx, token)
	}
}

// reportUsage does what is due for the usage reports.
func (r *Runner) reportUsage(ctx context.Context, token int64) {
	if !r.resume(ctx, token) {
		return
	}
	r.record(ctx, token)
	r.report(ctx)
	for _, w := range r.queue.Missed(r.Clock.True()) {
		r.Meter.Count("usage missed")
		r.Log.Error("usage missed", "window", w)
		delete(r.counts, w)
		delete(r.refusals, w)
	}
}

// report sends the next record to the provider.
func (r *Runner) report(ctx context.Context) {
	record, ok := r.queue.ToSend(r.Clock.True())
	now := r.Clock.Now()
	if !ok || now < r.usagePace.next {
		return
	}
	token, deadline := r.tenure.Begin(now)
	if token == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, deadline-now)
	defer cancel()
	mayWrite := func() bool { return r.Clock.Now() < deadline }
	err := r.Cloud.Usage(callCtx, platform.Holder{Name: r.Name, Token: token}, record.Window, record.Counts, mayWrite)
	r.settle(&r.usagePace, token, err)
	late := r.queue.IsLate(record.Window, r.Clock.True())
	if err != nil {
		r.Log.Warn("usage not reported", "window", record.Window, "token", token, "late", late, "err", err)
		r.countRefusal(record.Window, err)
		return
	}
	r.queue.Sent(record.Window)
	delete(r.refusals, record.Window)
	r.Meter.Count("usage reported")
	if late {
		r.Meter.Count("usage late")
	}
	r.Log.Info("usage reported", "window", record.Window, "token", token, "late", late,
		"after", r.Clock.True().Sub(r.queue.End(record.Window)), "organisations", len(record.Counts))
}

// countRefusal gives a report up that the provider has refused several times, since those of later windows wait for it.
func (r *Runner) countRefusal(w int64, err error) {
	switch e := err.(type) {
	case *platform.RefusedError:
	case *platform.RejectedError:
		if e.Status >= http.StatusInternalServerError || e.Status == http.StatusTooManyRequests || e.Status == http.StatusRequestTimeout {
			return // The provider may accept it later.
		}
	default:
		return
	}
	if r.refusals[w]++; r.refusals[w] < maxRefusals {
		return
	}
	r.queue.Sent(w)
	delete(r.refusals, w)
	r.Meter.Count("usage refused")
	r.Log.Error("usage refused", "window", w, "err", err)
}

// settle counts a call to the provider under a token and sets the time of the next one.
func (r *Runner) settle(p *pace, token int64, err error) {
	wait := minRetryWait
	switch e := err.(type) {
	case nil:
		r.Meter.Count("duty calls accepted")
		p.wait = 0
	case *platform.RefusedError:
		r.Meter.Count("duty calls refused")
		r.tenure.Refuse(token)
	case *platform.RejectedError:
		r.Meter.Count("duty calls rejected")
		wait = max(wait, min(e.Wait, maxRetryWait))
	default:
		r.Meter.Count("duty calls lost")
	}
	if err != nil {
		p.wait = min(max(wait, 2*p.wait), maxRetryWait)
	}
	interval := time.Duration(0)
	if r.CallRate > 0 {
		interval = time.Duration(float64(time.Second) / (rateShare * r.CallRate))
	}
	p.next = r.Clock.Now() + max(interval, p.wait)
}
