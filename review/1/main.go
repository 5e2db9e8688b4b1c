//go:build review

// Command 1 shows two kinds of prompts with a part that crashes engines which gates never find: one of more than sixteen parts, and
// one whose first token takes more than a second.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"pimentoseam/review/rig"
)

const (
	contact  = 3 * time.Second // contactMs
	badPart  = "badbadbad"
	calm     = 5 * time.Second // Without requests that crash engines.
	soundGap = 60 * time.Millisecond
	down     = 3 * time.Second // An engine is back after that.
	events   = 20
	gap      = 15 * time.Millisecond
	limit    = 4 * time.Second
	budget   = 3  // BUDGET: more than three requests.
	enough   = 20 // LOST: 20 or more of each.
)

// kind is a kind of prompt with the part.
type kind struct {
	name   string
	parts  int           // Of each prompt, the last its own.
	place  int           // Of the part, from 0.
	tokens int           // Of the part; the others have 100 each.
	read   time.Duration // How long an engine reads a prompt with the part; the other parts are in its memory.
	first  int           // Events that an engine has written when it crashes.
	gap    time.Duration // Between two requests with the part.
	length time.Duration // How long they come.
}

var (
	manyParts = kind{name: "many parts", parts: 20, place: 17, tokens: 100, read: 20 * time.Millisecond, gap: 600 * time.Millisecond, length: 30 * time.Second}
	// An engine that decodes reads 31 tokens in a millisecond.
	slowStart = kind{name: "slow start", parts: 4, place: 2, tokens: 37000, read: 1200 * time.Millisecond, first: 1, gap: 1800 * time.Millisecond, length: 36 * time.Second}
	// Both controls are found and blocked.
	fewParts  = kind{name: "few parts", parts: 20, place: 2, tokens: 100, read: 20 * time.Millisecond, gap: 600 * time.Millisecond, length: 30 * time.Second}
	fastStart = kind{name: "fast start", parts: 4, place: 2, tokens: 100, read: 20 * time.Millisecond, first: 1, gap: 600 * time.Millisecond, length: 30 * time.Second}
	// A fifth of all requests has the part.
	often = kind{name: "often", parts: 4, place: 2, tokens: 100, read: 20 * time.Millisecond, gap: 240 * time.Millisecond, length: 36 * time.Second}
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
	kind    *kind
	gates   []*rig.Proc
	engines []*rig.Engine

	mu      sync.Mutex
	crashes []time.Time
	sent    []sent
}

func main() { rig.Main(run) }

// run plays both kinds, or the one that KIND names.
func run(r *rig.Rig) (int, error) {
	result, played := rig.Held, 0
	for _, k := range []*kind{&manyParts, &slowStart, &fewParts, &fastStart, &often} {
		if name := os.Getenv("KIND"); name != k.name && (name != "" || (k != &manyParts && k != &slowStart)) {
			continue
		}
		if played > 0 {
			r.Reset()
		}
		played++
		code, err := play(r, k)
		if err != nil {
			return rig.NotRun, err
		}
		result = max(result, code) // A broken rule goes before one that held.
	}
	if played == 0 {
		return rig.NotRun, errors.New("unknown KIND")
	}
	return result, nil
}

// play plays one kind of prompt with gates, engines and a store of its own.
func play(r *rig.Rig, k *kind) (int, error) {
	r.Note("kind: %s", k.name)
	r.Store.Put("op/config", []byte(rig.Config))
	s := &state{r: r, kind: k}
	crashing := ""
	if rig.Trouble() {
		crashing = badPart
	}
	for i := range 6 {
		e, err := r.StartEngine(fmt.Sprintf("i-lm-%d", i), &rig.Prompts{Bad: badPart, Crashes: crashing != "", Read: k.read, First: k.first}, down, events, gap, func(at time.Time) {
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
	stop := began.Add(calm + k.length)
	every := int(k.gap / soundGap)
	for n := 0; time.Now().Before(stop); n++ {
		wg.Go(func() { s.request(fmt.Sprintf("sound%04d", n), n, false) })
		if time.Since(began) > calm && n%every == 0 {
			wg.Go(func() { s.request(fmt.Sprintf("bad%04d", n), n, true) })
		}
		time.Sleep(soundGap)
	}
	wg.Wait()
	return s.judge(began)
}

// request sends one request on a channel of its own to one of the gates.
func (s *state) request(id string, n int, bad bool) {
	const tokens = 100
	var parts []string
	sum := 0
	add := func(name string, tokens int) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, tokens))
		sum += tokens
	}
	for i := range s.kind.parts - 1 {
		switch {
		case i == s.kind.place && bad:
			add(badPart, s.kind.tokens)
		case i == s.kind.place:
			add("c0ffee", tokens)
		default:
			add(fmt.Sprintf("%x", 0xa00+i), tokens)
		}
	}
	own := 0x100000 + 2*n // No two are alike.
	if bad {
		own++
	}
	add(fmt.Sprintf("%x", own), tokens)
	header := fmt.Sprintf("X-Model: m\r\nX-Token-Counts: %d,%d\r\nX-Prompt-Prefix: %s\r\nAuthorization: Bearer clerk\r\n", sum, events, strings.Join(parts, ","))
	c, err := rig.Open(s.gates[n%len(s.gates)].Listen)
	if err != nil {
		return
	}
	defer c.Close()
	at := time.Now()
	a := c.Do("POST", "/summary/1", id, header, []byte("{}"), limit)
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
