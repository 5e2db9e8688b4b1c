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
	dialMin = 100 * time.Millisecond
	dialMax = 3 * time.Second
)

// upstream is an agent as this entry knows it, with the link to it.
type upstream struct {
	entry  *Entry
	conf   atomic.Pointer[conf.Upstream]
	link   atomic.Pointer[link.Conn]
	beat   atomic.Pointer[frame.Beat]
	heard  atomic.Int64 // time of the last beat in nanoseconds
	flying atomic.Int64 // requests in progress through this entry
	before atomic.Int64 // of those, in progress at the last beat
	mu     sync.Mutex   // held to replace stop
	stop   atomic.Pointer[stop]
	cancel context.CancelFunc
}

func (e *Entry) newUpstream(c conf.Upstream) *upstream {
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{entry: e, cancel: cancel}
	u.conf.Store(&c)
	go u.keep(ctx)
	return u
}

// keep holds a link to the agent open until ctx ends.
func (u *upstream) keep(ctx context.Context) {
	wait := dialMin
	for ctx.Err() == nil {
		begun := time.Now()
		c, err := link.Dial(ctx, u.entry.public.Engine(), u.conf.Load().Address, u.entry.set.Secret, u)
		if errors.Is(err, syscall.ECONNREFUSED) {
			u.dialRefused(begun)
		}
		if err != nil {
			wait = min(2*wait, u.longestWait())
			proc.Sleep(ctx, proc.Jitter(wait))
			continue
		}
		wait = dialMin
		u.link.Store(c)
		u.entry.linked.Add(1)
		select {
		case <-c.Done():
			u.linkEnded(time.Now())
		case <-ctx.Done():
			c.Close(ctx.Err())
		}
		u.link.CompareAndSwap(c, nil)
		u.entry.linked.Add(-1)
		proc.Sleep(ctx, proc.Jitter(dialMin))
	}
}

// Beat returns the entry's revisions.
func (u *upstream) Beat() *frame.Beat {
	epoch, plan := u.entry.lead.known(u.conf.Load().Target)
	every := link.HeartbeatInterval(int(u.entry.linked.Load()))
	return &frame.Beat{Name: u.entry.set.Name, Period: every, Config: u.entry.view.Load().revision, Epoch: epoch, Plan: plan}
}

// Frame handles one frame from the agent.
func (u *upstream) Frame(_ *link.Conn, f frame.Frame) {
	switch m := f.(type) {
	case *frame.Beat:
		u.beat.Store(m)
		u.heard.Store(time.Now().UnixNano())
		u.hearStop(m, time.Now())
		u.before.Store(u.flying.Load())
		u.entry.hearConfig(m.Config)
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

// retire closes the link once the requests in progress have ended.
func (u *upstream) retire() {
	go func() {
		deadline := time.Now().Add(stopGrace)
		for u.flying.Load() > 0 && time.Now().Before(deadline) {
			time.Sleep(dialMin)
		}
		u.cancel()
	}()
}

// usable reports whether the upstream may get new work.
func (u *upstream) usable() bool {
	beat := u.beat.Load()
	if u.link.Load() == nil || beat == nil || beat.Leaving || beat.Failing {
		return false
	}
	c := u.conf.Load()
	return !c.Drain && u.entry.fleet.Load().state(c.Name) == vmlist.Live
}
