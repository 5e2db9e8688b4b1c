//go:build review

// Command 1 shows that a part of a prompt that crashes engines is never found if it lies behind the first fifteen parts.
package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pimentoseam/review/rig"
)

const (
	contact    = 3 * time.Second // contactMs
	numParts   = 20              // Of each prompt, the last its own.
	partTokens = 100
	badPart    = "badbadbad"
	calm       = 6 * time.Second  // Without requests that crash engines.
	length     = 36 * time.Second // With them.
	soundGap   = 60 * time.Millisecond
	badGap     = 600 * time.Millisecond
	down       = 3 * time.Second // An engine is back after that.
	events     = 20
	gap        = 15 * time.Millisecond
	limit      = 4 * time.Second
	budget     = 3  // BUDGET: more than three requests.
	enough     = 20 // LOST: 20 or more of each.
)

// sent is a request as its requester knows it.
type sent struct {
	id  string
	at  time.Time
	bad bool
	ans rig.Answer
}

type state struct {
	r       *rig.Rig
	gates   []*rig.Proc
	engines []*rig.Engine

	mu      sync.Mutex
	crashes []time.Time
	sent    []sent
}

func main() { rig.Main(run) }

func run(r *rig.Rig) (int, error) {
	place := 17 // Of the bad part; the control runs with PLACE=2.
	if v := os.Getenv("PLACE"); v != "" {
		var err error
		if place, err = strconv.Atoi(v); err != nil {
			return rig.NotRun, err
		}
	}
	r.Store.Put("op/config", []byte(rig.Config))
	s := &state{r: r}
	crashing := ""
	if rig.Trouble() {
		crashing = badPart
	}
	for i := range 6 {
		e, err := r.StartEngine(fmt.Sprintf("i-lm-%d", i), crashing, down, events, gap, func(at time.Time) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.crashes = append(s.crashes, at)
		})
		if err != nil {
			return rig.NotRun, err
		}
		defer e.Close()
		s.engines = append(s.engines, e)
	}
	var seeds []string
	for i := range 2 {
		g, err := r.StartGate(fmt.Sprintf("front-%d", i+1), "z-a", seeds)
		if err != nil {
			return rig.NotRun, err
		}
		s.gates, seeds = append(s.gates, g), append(seeds, r.Seed(g))
	}
	for _, g := range s.gates {
		if err := r.WaitReady(g); err != nil {
			return rig.NotRun, err
		}
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	began := time.Now()
	stop := began.Add(calm + length)
	for n := 0; time.Now().Before(stop); n++ {
		wg.Go(func() { s.request(fmt.Sprintf("sound%04d", n), n, place, false) })
		if every := int(badGap / soundGap); time.Since(began) > calm && n%every == 0 {
			wg.Go(func() { s.request(fmt.Sprintf("bad%04d", n), n, place, true) })
		}
		time.Sleep(soundGap)
	}
	wg.Wait()
	return s.judge(began)
}

// request sends one request on a channel of its own to one of the gates.
func (s *state) request(id string, n, place int, bad bool) {
	var parts []string
	for i := range numParts - 1 {
		name := fmt.Sprintf("%x", 0xa00+i)
		if i == place {
			name = "c0ffee"
			if bad {
				name = badPart
			}
		}
		parts = append(parts, fmt.Sprintf("%s:%d", name, partTokens))
	}
	parts = append(parts, fmt.Sprintf("%x:%d", 0x100000+2*n+map[bool]int{true: 1}[bad], partTokens)) // No two are alike.
	header := fmt.Sprintf("X-Model: m\r\nX-Token-Counts: %d,%d\r\nX-Prompt-Prefix: %s\r\nAuthorization: Bearer clerk\r\n", numParts*partTokens, events, strings.Join(parts, ","))
	c, err := rig.Open(s.gates[n%len(s.gates)].Listen)
	if err != nil {
		return
	}
	defer c.Close()
	at := time.Now()
	a := c.Do("POST", "/match/1", id, header, []byte("{}"), limit)
	s.r.Note("%s: status %d, complete %t, took %v, %v", id, a.Status, a.Complete(), a.Took.Round(time.Millisecond), a.Err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, sent{id: id, at: at, bad: bad, ans: a})
}

// judge checks both rules as they are written.
func (s *state) judge(began time.Time) (int, error) {
	slices.SortFunc(s.crashes, time.Time.Compare)
	calmSent, calmBegun, lateSent, lateBegun, lateBad, cut := 0, 0, 0, 0, 0, 0
	var fifth time.Time
	if len(s.crashes) >= 5 {
		fifth = s.crashes[4]
	}
	for _, q := range s.sent {
		var reached time.Time
		begun := false
		for _, e := range s.engines {
			if at, ok := e.Arrival(q.id); ok && at.After(reached) {
				reached = at
			}
			begun = begun || e.Begun(q.id)
		}
		switch {
		case q.bad:
			if !fifth.IsZero() && reached.After(fifth.Add(contact)) {
				lateBad++
			}
		case q.at.Before(began.Add(calm)):
			calmSent++
			if begun {
				calmBegun++
			}
		case !fifth.IsZero() && q.at.After(fifth.Add(2*contact)):
			lateSent++
			if begun {
				lateBegun++
			}
		}
		if !q.bad && begun && !q.ans.Complete() {
			cut++
		}
	}
	s.r.Note("%d crashes of 6 engines", len(s.crashes))
	s.r.Note("BUDGET: %d requests with the part reached replicas later than %v after the fifth crash (bound %d)", lateBad, contact, budget)
	s.r.Note("LOST: of the sound requests %d of %d began before, %d of %d began later than %v after the fifth crash (at least half as often)", calmBegun, calmSent, lateBegun, lateSent, 2*contact)
	s.r.Note("%d sound streams that had begun were cut off", cut)
	if calmSent < enough || calmBegun*10 < calmSent*9 {
		return rig.NotRun, fmt.Errorf("%d of %d requests began before the disruption", calmBegun, calmSent)
	}
	lost := calmSent >= enough && lateSent >= enough && 2*lateBegun*calmSent < calmBegun*lateSent
	s.r.Note("BUDGET broken %t, LOST broken %t", lateBad > budget, lost)
	if lateBad > budget || lost {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
