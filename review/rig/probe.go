//go:build review

package rig

import (
	"sync"
	"time"
)

// Probe asks a gate once a second whether it is ready, as the platform does.
type Probe struct {
	mu     sync.Mutex
	misses int
}

// NewProbe starts to ask; the caller must close stop.
func (r *Rig) NewProbe(p *Proc, stop <-chan struct{}) *Probe {
	b := &Probe{}
	go func() {
		for {
			ready := p.IsReady()
			b.mu.Lock()
			if ready {
				b.misses = 0
			} else {
				b.misses++
				r.Note("%s misses a readiness probe", p.Name)
			}
			b.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return b
}

// InRotation reports whether the gate gets new channels: it does until two misses in a row.
func (b *Probe) InRotation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses < 2
}
