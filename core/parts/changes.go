package parts

import (
	"slices"
	"time"

	"pimentoseam/core/conf"
)

// maxChanges is the number of membership changes that a Head keeps for each target.
const maxChanges = 8

// Change is a change of a plain service's membership. The upstreams of the previous membership own the
// idempotency keys that were minted before Until.
type Change struct {
	Target  string          `json:"target"`
	Until   time.Time       `json:"until"`
	Removed []conf.Upstream `json:"lost,omitempty"`      // Upstreams that are only in the previous membership.
	Added   []string        `json:"gained,omitempty"`    // Names that are only in the new membership.
	Unknown bool            `json:"forgotten,omitempty"` // The previous membership is no longer known.
}

// Membership is a previous membership of a target: the upstreams that own the idempotency keys minted
// before Until and not before the Until of an older Membership.
type Membership struct {
	Until     time.Time
	Upstreams []conf.Upstream
	Unknown   bool
}

// RecordChanges sets the changes of h: those of oldHead, and those between its document oldDoc and doc, the
// document of h.
func (h *Head) RecordChanges(oldHead *Head, oldDoc, doc *conf.Document, until time.Time) {
	h.Changes = slices.Clone(oldHead.Changes)
	for _, target := range services(oldDoc, doc) {
		oldMembers, newMembers := members(oldDoc, target), members(doc, target)
		c := Change{Target: target, Until: until, Removed: difference(oldMembers, newMembers)}
		for _, u := range difference(newMembers, oldMembers) {
			c.Added = append(c.Added, u.Name)
		}
		if len(c.Removed) == 0 && len(c.Added) == 0 {
			continue
		}
		if len(oldMembers) == 0 {
			c.Until = h.lastUntil(target) // An empty previous membership must not own any keys.
		}
		h.Changes = append(h.Changes, c)
		h.trim(target)
	}
}

// Memberships returns the previous memberships of each target, the oldest first; doc is the document of h.
// It undoes the changes in turn, starting from the current members.
func (h *Head) Memberships(doc *conf.Document) map[string][]Membership {
	memberships := make(map[string][]Membership)
	earliest := make(map[string][]conf.Upstream) // The members before the changes undone so far.
	for _, c := range slices.Backward(h.Changes) {
		after, ok := earliest[c.Target]
		if !ok {
			after = members(doc, c.Target)
		}
		before := append([]conf.Upstream(nil), c.Removed...)
		for _, u := range after {
			if !slices.Contains(c.Added, u.Name) {
				before = append(before, u)
			}
		}
		earliest[c.Target] = before
		m := Membership{Until: c.Until, Upstreams: before, Unknown: c.Unknown}
		memberships[c.Target] = append([]Membership{m}, memberships[c.Target]...)
	}
	return memberships
}

// lastUntil returns the Until of the target's newest change, or zero.
func (h *Head) lastUntil(target string) time.Time {
	var until time.Time
	for _, c := range h.Changes {
		if c.Target == target {
			until = c.Until
		}
	}
	return until
}

// trim merges the two oldest changes of a target with more than maxChanges into one with an unknown
// previous membership, so that keys minted before it are still rejected.
func (h *Head) trim(target string) {
	var indexes []int
	for i := range h.Changes {
		if h.Changes[i].Target == target {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) <= maxChanges {
		return
	}
	oldest := &h.Changes[indexes[1]]
	oldest.Removed, oldest.Added, oldest.Unknown = nil, nil, true
	h.Changes = slices.Delete(h.Changes, indexes[0], indexes[0]+1)
}

// services returns the names of the plain services in either document.
func services(oldDoc, doc *conf.Document) []string {
	var names []string
	for _, t := range slices.Concat(oldDoc.Targets, doc.Targets) {
		if t.Kind == conf.Service && !slices.Contains(names, t.Name) {
			names = append(names, t.Name)
		}
	}
	return names
}

// members returns the upstreams of a target.
func members(d *conf.Document, target string) []conf.Upstream {
	var found []conf.Upstream
	for _, u := range d.Upstreams {
		if u.Target == target {
			found = append(found, u)
		}
	}
	return found
}

// difference returns the upstreams of a that b doesn't have with the same name and address.
func difference(a, b []conf.Upstream) []conf.Upstream {
	byName := make(map[string]conf.Upstream, len(b))
	for _, u := range b {
		byName[u.Name] = u
	}
	var only []conf.Upstream
	for _, u := range a {
		if other, ok := byName[u.Name]; !ok || other.Address != u.Address {
			only = append(only, u)
		}
	}
	return only
}
