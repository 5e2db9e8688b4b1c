package gate_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

const (
	decodeEngines = 7                       // Beside the two that process prompts.
	crashBack     = 3500 * time.Millisecond // Time that a crashed engine is down.
)

// startProcesses runs four gates of two zones as processes until the test ends.
func startProcesses(t *testing.T, binary string, store *simop.Store) []*testGate {
	t.Helper()
	logs := t.TempDir()
	if keep := os.Getenv("KEEP"); keep != "" {
		logs = filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "-")) // Several clusters run at once.
		if err := os.MkdirAll(logs, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	number, peer := int(clusters.Add(1)), freeAddrs(t, 1)[0].Port()
	var gates []*testGate
	for i := range gatesPerSize {
		set := newSettings(t, store, "")
		set.Name, set.Zone = fmt.Sprintf("gate-%d", i), []string{"east", "west"}[i%2]
		host := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(number), byte(100 + i)})
		for _, addr := range []*netip.AddrPort{&set.Listen, &set.Ready, &set.Share, &set.Debug} {
			*addr = netip.AddrPortFrom(host, addr.Port())
		}
		set.Peer = netip.AddrPortFrom(host, peer)
		if i > 0 {
			set.Seeds = gates[0].set.Share.String()
		}
		launchProcess(t, binary, logs, "gate", set.Name, set)
		gates = append(gates, &testGate{store: store, set: set})
	}
	for _, g := range gates {
		g.waitReady(t)
	}
	return gates
}

// TestSeveralAndLateParts guards against prompts that still reach engines long after the fifth crash under one of their parts,
// where several parts crash engines at the same time or engines crash seconds after the first event.
func TestSeveralAndLateParts(t *testing.T) {
	binary := buildBinary(t)
	one, three := []string{"bad0"}, []string{"bad0", "bad1", "bad2"}
	for name, test := range map[string]struct {
		stage  simop.CrashStage
		after  time.Duration
		parts  []string
		pause  time.Duration // Between two prompts with a part.
		length time.Duration

		patience time.Duration // Of the callers of prompts with a part.
		events   int           // Of other streams; see crashFleet.
	}{
		"three parts":             {stage: simop.AfterHead, parts: three, pause: 250 * time.Millisecond, length: 24 * time.Second},
		"1.1 s after an event":    {stage: simop.InsideBody, after: 1100 * time.Millisecond, parts: one, pause: 400 * time.Millisecond, length: 20 * time.Second},
		"4 s after an event":      {stage: simop.InsideBody, after: 4 * time.Second, parts: one, pause: 400 * time.Millisecond, length: 24 * time.Second},
		"three parts after 1.5 s": {stage: simop.InsideBody, after: 1500 * time.Millisecond, parts: three, pause: 500 * time.Millisecond, length: 24 * time.Second},
		"callers leave before": {
			stage: simop.InsideBody, after: 2 * time.Second, parts: one, pause: 1500 * time.Millisecond, length: 40 * time.Second,
			patience: 1500 * time.Millisecond, events: 60,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			fleet := &crashFleet{stage: test.stage, after: test.after, back: crashBack, events: test.events}
			fleet.run(t, store, decodeEngines, test.parts...)
			gates := startProcesses(t, binary, store)
			stop := make(chan struct{})
			var wait sync.WaitGroup
			var sound, served atomic.Int64
			paths := []string{"/fixed/x", "/model/x"}
			load(t, gates, 40*time.Millisecond, stop, &wait, func(i int) (string, []string) {
				return paths[i%2], []string{"aa", fmt.Sprintf("50%d", rand.N(40))}
			}, func(_, status int) {
				sound.Add(1)
				if status == http.StatusOK {
					served.Add(1)
				}
			})
			time.Sleep(2 * time.Second) // Most sound parts have been answered.
			for i, part := range test.parts {
				loadFor(t, cmp.Or(test.patience, callTimeout), gates, test.pause, stop, &wait, func(int) (string, []string) {
					return paths[i%2], []string{"aa", fmt.Sprintf("50%d", i), part}
				}, func(int, int) {})
			}
			time.Sleep(test.length)
			close(stop)
			wait.Wait()
			t.Logf("%d of %d sound prompts were served", served.Load(), sound.Load())
			if 2*served.Load() < sound.Load() {
				t.Errorf("%d of %d sound prompts were served, want half at least", served.Load(), sound.Load())
			}
			for part, tally := range fleet.tallies {
				crashes, late := tally.late()
				t.Logf("%s: %d crashes, %d prompts later than %v after the fifth", part, crashes, late, contactTime)
				if late > allowedAfter {
					t.Errorf("%s: %d prompts reached engines later than %v after the fifth crash, want %d at most", part, late, contactTime, allowedAfter)
				}
			}
		})
	}
}

// TestCrashSeenByOtherEntry guards against prompts that are never suspect since only other entries see the crashes under them.
func TestCrashSeenByOtherEntry(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	fleet := &crashFleet{stage: simop.InsideBody, after: 2 * time.Second, back: crashBack, events: 60}
	fleet.run(t, store, decodeEngines, crashPart)
	gates := startProcesses(t, buildBinary(t), store)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	load(t, gates[1:], 40*time.Millisecond, stop, &wait, func(i int) (string, []string) {
		return "/model/x", []string{"aa", fmt.Sprintf("50%d", rand.N(40))}
	}, func(int, int) {})
	time.Sleep(2 * time.Second) // Most sound parts have been answered.
	loadFor(t, 1500*time.Millisecond, gates[:1], 1500*time.Millisecond, stop, &wait, func(i int) (string, []string) {
		return "/fixed/x", []string{"aa", fmt.Sprintf("60%d", i), crashPart}
	}, func(int, int) {})
	time.Sleep(40 * time.Second)
	close(stop)
	wait.Wait()
	crashes, late := fleet.tallies[crashPart].late()
	t.Logf("%d crashes, %d prompts later than %v after the fifth", crashes, late, contactTime)
	if late > allowedAfter {
		t.Errorf("%d prompts reached engines later than %v after the fifth of %d crashes, want %d at most", late, contactTime, crashes, allowedAfter)
	}
}
