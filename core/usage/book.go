package usage

import (
	"maps"
	"slices"
	"sync"
)

const (
	// maxOrganisations limits the counts of one part, so that a part has some 200 kB at most.
	maxOrganisations = 10_000
	// maxWindows is the number of windows that are kept. With windows of 5 s that is more than the minute for which
	// a report may be made up for.
	maxWindows = 14
	// maxCopies limits the copies that are kept for other entries, which are 14 windows of 36 runs of entries.
	maxCopies = 500
	// maxCopiedCounts limits the counts in all copies, at some 100 bytes each.
	maxCopiedCounts = 100_000
)

// key identifies a part.
type key struct {
	source Source
	window int64
}

// Book holds the counts of this entry by window, and copies of those of other entries.
type Book struct {
	self Source
	zone string

	mu     sync.Mutex
	own    map[int64]*Part
	totals map[int64]int64 // Requests of this entry by window.
	copied map[int64]int64 // Requests by window that the entry with the copies has.
	copies map[key]*Part
	counts int   // Number of counts in copies.
	newest int64 // The newest window by the clock of this entry.
}

// New returns an empty Book of one run of an entry.
func New(self Source, zone string) *Book {
	return &Book{self: self, zone: zone, own: make(map[int64]*Part), totals: make(map[int64]int64), copied: make(map[int64]int64), copies: make(map[key]*Part)}
}

// Add counts a request of an organisation that began to run in a window.
func (b *Book) Add(window int64, organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.own[window]
	if p == nil {
		p = &Part{Source: b.self, Zone: b.zone, Window: window, Counts: make(map[string]int64)}
		b.own[window] = p
		b.expire(window)
	}
	if _, ok := p.Counts[organisation]; !ok && len(p.Counts) >= maxOrganisations {
		return
	}
	p.Counts[organisation]++
	b.totals[window]++
}

// Merge keeps copies of the counts of other entries; of two copies of a count it keeps the larger one. present is the window
// of this moment.
func (b *Book) Merge(present int64, parts []Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(present)
	for i := range parts {
		p := &parts[i]
		k := key{p.Source, p.Window}
		if p.Source == b.self || p.Window <= b.newest-maxWindows {
			continue
		}
		kept := b.copies[k]
		if kept == nil {
			if len(b.copies) >= maxCopies {
				continue
			}
			kept = &Part{Source: p.Source, Zone: p.Zone, Window: p.Window, Counts: make(map[string]int64)}
			b.copies[k] = kept
		}
		if before := len(kept.Counts); b.counts+len(p.Counts)-before <= maxCopiedCounts {
			keepLarger(kept.Counts, p.Counts)
			b.counts += len(kept.Counts) - before
		}
	}
}

// Parts returns the counts of a window: those of this entry, also if there are none, and the copies.
func (b *Book) Parts(window int64) []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Part{{Source: b.self, Zone: b.zone, Window: window}}
	if p := b.own[window]; p != nil {
		list[0] = p.clone()
	}
	for k, p := range b.copies {
		if k.window == window {
			list = append(list, p.clone())
		}
	}
	return list
}

// Changed returns the counts of this entry that have changed since they were last copied.
func (b *Book) Changed() []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Part
	for _, window := range slices.Sorted(maps.Keys(b.own)) {
		if b.totals[window] != b.copied[window] {
			list = append(list, b.own[window].clone())
		}
	}
	return list
}

// Copied records that another entry has these parts of Changed.
func (b *Book) Copied(parts []Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		n := int64(0)
		for _, count := range p.Counts {
			n += count
		}
		b.copied[p.Window] = n
	}
}

// ForgetCopied makes Changed return all counts, because another entry is to have the copies.
func (b *Book) ForgetCopied() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.copied)
}

// All returns the counts of this entry and the copies, of all windows.
func (b *Book) All() []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Part
	for _, p := range b.own {
		list = append(list, p.clone())
	}
	for _, p := range b.copies {
		list = append(list, p.clone())
	}
	return list
}

// expire removes the windows that are too old once the newest is known; the lock must be held.
func (b *Book) expire(newest int64) {
	if newest <= b.newest {
		return
	}
	b.newest = newest
	isOld := func(window int64) bool { return window <= newest-maxWindows }
	maps.DeleteFunc(b.own, func(w int64, _ *Part) bool { return isOld(w) })
	maps.DeleteFunc(b.totals, func(w, _ int64) bool { return isOld(w) })
	maps.DeleteFunc(b.copied, func(w, _ int64) bool { return isOld(w) })
	for k, p := range b.copies {
		if isOld(k.window) {
			b.counts -= len(p.Counts)
			delete(b.copies, k)
		}
	}
}
