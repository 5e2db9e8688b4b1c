package usage

import "maps"

// Source identifies one run of an entry.
type Source struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Start int64 // Start time of the process in Unix nanoseconds.
}

// Part holds the counts of one run of an entry in one window. Entries send each other parts as CBOR.
type Part struct {
	Source Source           `cbor:"1,keyasint"`
	Zone   string           `cbor:"2,keyasint"` // The entry's availability zone.
	Window int64            `cbor:"3,keyasint"`
	Counts map[string]int64 `cbor:"4,keyasint"` // Requests by organisation.
}

// Total holds the counts of all entries of one availability zone in one window.
type Total struct {
	Sources  []Source         `cbor:"1,keyasint"` // The runs that Counts covers.
	Counts   map[string]int64 `cbor:"2,keyasint"`
	Others   []Part           `cbor:"3,keyasint"` // Copies of counts of entries of other zones.
	Complete bool             `cbor:"4,keyasint"` // The counts of each known entry of the zone are covered.
}

// NewTotal returns the total of a zone from all parts that were found there. Complete is left to the caller.
func NewTotal(zone string, parts []Part) *Total {
	t := &Total{Counts: make(map[string]int64)}
	for _, p := range mergeParts(parts) {
		if p.Zone != zone {
			t.Others = append(t.Others, p)
			continue
		}
		t.Sources = append(t.Sources, p.Source)
		addCounts(t.Counts, p.Counts)
	}
	return t
}

// Combine returns the counts of several zones. A copy that another zone holds counts only if the entry's own zone
// doesn't cover it.
func Combine(totals []*Total) map[string]int64 {
	sum, covered := make(map[string]int64), make(map[Source]bool)
	var others []Part
	for _, t := range totals {
		addCounts(sum, t.Counts)
		others = append(others, t.Others...)
		for _, s := range t.Sources {
			covered[s] = true
		}
	}
	for _, p := range mergeParts(others) {
		if !covered[p.Source] {
			addCounts(sum, p.Counts)
		}
	}
	return sum
}

// mergeParts merges the parts of one window by source. Of two counts of a source the larger one is newer.
func mergeParts(parts []Part) map[Source]Part {
	merged := make(map[Source]Part)
	for _, p := range parts {
		m, ok := merged[p.Source]
		if !ok {
			m = Part{Source: p.Source, Zone: p.Zone, Window: p.Window, Counts: make(map[string]int64)}
			merged[p.Source] = m
		}
		keepLarger(m.Counts, p.Counts)
	}
	return merged
}

// keepLarger raises the counts in into to those in from.
func keepLarger(into, from map[string]int64) {
	for name, n := range from {
		if len(into) < maxOrganisations || into[name] > 0 {
			into[name] = max(into[name], n)
		}
	}
}

func addCounts(into, from map[string]int64) {
	for name, n := range from {
		into[name] += n
	}
}

// clone returns a copy of p that shares nothing with it.
func (p *Part) clone() Part {
	c := *p
	c.Counts = maps.Clone(p.Counts)
	return c
}
