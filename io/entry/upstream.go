package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/frame"
	"pimentoseam/io/link"
	"pimentoseam/io/proc"
	"pimentoseam/io/vmlist"
)

const (
	minDialWait = 100 * time.Millisecond // Initial wait between two dials.
	maxDialWait = 3 * time.Second        // Maximum wait between two dials.
)

// upstream is the link to an upstream's agent and the state that the agent last reported.
type upstream struct {
	entry          *Entry
	conf           atomic.Pointer[conf.Upstream]
	link           atomic.Pointer[link.Conn]
	beat           atomic.Pointer[frame.Beat]  // The last heartbeat.
	lastBeatAt     atomic.Int64                // The time of the last heartbeat in Unix nanoseconds.
	inFlight       atomic.Int64                // The attempts in progress through this entry.
	inFlightAtBeat atomic.Int64                // The value of inFlight at the last heartbeat.
	mu             sync.Mutex                  // Held while stop is replaced.
	stop           atomic.Pointer[plannedStop] // The last planned stop of an agent, nil if none was seen.
	cancel         context.CancelFunc          // Closes the link; nil for a previous owner of keys that is no longer linked.
}

func (e *Entry) newUpstream(c conf.Upstream) *upstream {
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{entry: e, cancel: cancel}
	u.conf.Store(&c)
	go u.maintainLink(ctx)
	return u
}

// maintainLink keeps a link to the agent open until ctx ends.
func (u *upstream) maintainLink(ctx context.Context) {
	wait := minDialWait
	for ctx.Err() == nil {
		dialStart := time.Now()
		c, err := link.Dial(ctx, u.entry.public.Engine(), u.conf.Load().Address, u.entry.settings.Secret, u)
		if errors.Is(err, syscall.ECONNREFUSED) {
			u.observeDialRefused(dialStart)
		}
		if err != nil {
			wait = min(2*wait, u.dialWaitLimit())
			proc.Sleep(ctx, proc.Jitter(wait))
			continue
		}
		wait = minDialWait
		u.link.Store(c)
		u.entry.linkCount.Add(1)
		select {
		case <-c.Done():
			u.observeLinkEnd(time.Now())
		case <-ctx.Done():
			c.Close(ctx.Err())
		}
		u.link.CompareAndSwap(c, nil)
		u.entry.linkCount.Add(-1)
		proc.Sleep(ctx, proc.Jitter(minDialWait))
	}
}

// Beat returns the heartbeat to send, with the entry's revisions of the configuration and the plan.
func (u *upstream) Beat() *frame.Beat {
	u.entry.reviewCrashes()
	epoch, plan := u.entry.election.knownPlan(u.conf.Load().Target)
	interval := link.HeartbeatInterval(int(u.entry.linkCount.Load()))
	return &frame.Beat{Name: u.entry.settings.Name, Period: interval, Config: u.entry.view.Load().revision, Epoch: epoch, Plan: plan, Blame: u.entry.blame.Report(), Crashes: u.entry.crashes.Report()}
}

// Frame handles one frame from the agent.
func (u *upstream) Frame(_ *link.Conn, f frame.Frame) {
	switch m := f.(type) {
	case *frame.Beat:
		u.beat.Store(m)
		u.lastBeatAt.Store(time.Now().UnixNano())
		u.observeBeat(m, time.Now())
		u.inFlightAtBeat.Store(u.inFlight.Load())
		u.entry.observeRevision(m.Config)
		u.entry.mergeCrashes(m.Blame, m.Crashes, u.conf.Load().Name)
	case *frame.Part:
		u.entry.deliver(attemptID{m.ID, m.Attempt}, m)
	case *frame.End:
		u.entry.deliver(attemptID{m.ID, m.Attempt}, m)
	case *frame.Run, *frame.Control:
		u.entry.log.Warn("unexpected frame", "upstream", u.conf.Load().Name)
	}
}

// Closed wakes the attempts that use the link.
func (u *upstream) Closed(c *link.Conn, err error) {
	name := u.conf.Load().Name
	u.link.CompareAndSwap(c, nil)
	u.entry.events.Add("link-closed", "", name, err.Error())
	u.entry.attempts.Range(func(_, v any) bool {
		if a := v.(*attempt); a.up == u {
			a.wake()
		}
		return true
	})
}

// maxRetireTime is how long the link to an upstream that is no longer configured stays open for the attempts in progress.
const maxRetireTime = time.Minute

// retire closes the link once the attempts in progress have ended, at the latest after maxRetireTime.
func (u *upstream) retire() {
	go func() {
		deadline := time.Now().Add(maxRetireTime)
		for u.inFlight.Load() > 0 && time.Now().Before(deadline) {
			time.Sleep(minDialWait)
		}
		u.cancel()
	}()
}

// isUsable reports whether the upstream may be sent new requests.
func (u *upstream) isUsable() bool {
	beat := u.beat.Load()
	if u.link.Load() == nil || beat == nil || beat.Leaving || beat.Failing {
		return false
	}
	c := u.conf.Load()
	return !c.Drain && u.entry.fleet.Load().state(c.Name) == vmlist.Live
}
