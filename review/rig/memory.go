//go:build review

package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Watch is the platform's watch over the memory of a process.
type Watch struct {
	Peak  atomic.Int64 // In KiB, over all starts of the process.
	Kills atomic.Int64
	stop  chan struct{}
	done  chan struct{}
}

// WatchMemory kills a process when its resident memory exceeds limit KiB, as the platform does, and starts it again after a
// short delay. The platform also counts bytes that were received and not yet read; they are left out here.
func (r *Rig) WatchMemory(p *Proc, limit int64) *Watch {
	w := &Watch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			kib := residentMemory(p.Pid())
			if kib > w.Peak.Load() {
				w.Peak.Store(kib)
			}
			if kib <= limit {
				continue
			}
			w.Kills.Add(1)
			r.Note("platform kills %s: %d KiB of memory, limit %d KiB", p.Name, kib, limit)
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.done
			time.Sleep(500 * time.Millisecond)
			if err := r.restart(p); err != nil {
				r.Note("%s not started again: %v", p.Name, err)
				return
			}
		}
	}()
	return w
}

// Stop ends the watch.
func (w *Watch) Stop() {
	close(w.stop)
	<-w.done
}

// residentMemory returns the resident memory of a process in KiB, 0 if it can't be read.
func residentMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib
		}
	}
	return 0
}
