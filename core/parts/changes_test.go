package parts_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
)

// services returns a document with a plain service whose upstreams listen on the given ports.
func services(ports ...uint16) *conf.Document {
	d := &conf.Document{Targets: []conf.Target{{Name: "app", Kind: conf.Service, NonRepeatable: []string{"POST"}}}}
	for _, port := range ports {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		d.Upstreams = append(d.Upstreams, conf.Upstream{Name: fmt.Sprint("app-", port%10), Target: "app", Address: addr})
	}
	return d
}

// TestKeep replaces documents at random and compares the memberships from the heads with the documents.
func TestKeep(t *testing.T) {
	start := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	empty := &conf.Document{}
	docs := []*conf.Document{services(1, 2), services(1, 2, 3), services(1, 3), services(1, 13), services(), empty, services(4)}
	for range 200 {
		head, oldDoc := &parts.Head{}, empty
		var want []parts.Membership
		var firstAdded []time.Time // When upstreams were added to a service without any.
		for i := range 3 + random.IntN(5) {
			doc := docs[random.IntN(len(docs))]
			until := start.Add(time.Duration(i) * time.Minute)
			next := &parts.Head{}
			next.RecordChanges(head, oldDoc, doc, until)
			if len(oldDoc.Upstreams) > 0 && !sameUpstreams(oldDoc, doc) {
				want = append(want, parts.Membership{Until: until, Upstreams: oldDoc.Upstreams})
			}
			if len(oldDoc.Upstreams) == 0 && len(doc.Upstreams) > 0 {
				firstAdded = append(firstAdded, until)
			}
			head, oldDoc = next, doc
		}
		for _, until := range firstAdded {
			got := owner(head.Memberships(oldDoc)["app"], until.Add(-1))
			if !got.Until.IsZero() && len(got.Upstreams) == 0 {
				t.Fatalf("before %v: keys have no owner", until.Sub(start))
			}
		}
		for _, w := range want {
			got := owner(head.Memberships(oldDoc)["app"], w.Until.Add(-1))
			if !slices.Equal(sorted(got.Upstreams), sorted(w.Upstreams)) {
				t.Fatalf("before %v: got %v, want %v", w.Until.Sub(start), got.Upstreams, w.Upstreams)
			}
		}
	}
}

// owner returns the membership that owns keys minted at the given time.
func owner(memberships []parts.Membership, minted time.Time) parts.Membership {
	for _, m := range memberships {
		if minted.Before(m.Until) {
			return m
		}
	}
	return parts.Membership{}
}

func sorted(ups []conf.Upstream) []conf.Upstream {
	return slices.SortedFunc(slices.Values(ups), func(a, b conf.Upstream) int { return a.Address.Compare(b.Address) })
}

func sameUpstreams(a, b *conf.Document) bool {
	return slices.Equal(sorted(a.Upstreams), sorted(b.Upstreams))
}

// TestKeepBound changes a service often: the head keeps eight changes, and the keys of dropped memberships
// are still covered by one of unknown upstreams, so that they are rejected.
func TestKeepBound(t *testing.T) {
	start := time.Now()
	head := &parts.Head{}
	doc := services()
	for i := range 40 {
		next := &parts.Head{}
		doc = services(uint16(i + 2))
		next.RecordChanges(head, services(uint16(i+1)), doc, start.Add(time.Duration(i)*time.Minute))
		head = next
	}
	memberships := head.Memberships(doc)["app"]
	if len(memberships) != 8 {
		t.Fatalf("got %d previous memberships, want 8", len(memberships))
	}
	for i, m := range memberships {
		if m.Unknown != (i == 0) {
			t.Errorf("membership %d of %d: got unknown %v", i, len(memberships), m.Unknown)
		}
		if want := start.Add(time.Duration(32+i) * time.Minute); !m.Until.Equal(want) {
			t.Errorf("membership %d: got until %v, want %v", i, m.Until, want)
		}
	}
}

// TestKeepSize replaces one of 315 upstreams eight times and checks that the head stores the changes only.
func TestKeepSize(t *testing.T) {
	const maxBytes = 4 << 10
	head := &parts.Head{}
	var ports []uint16
	for i := range 315 {
		ports = append(ports, uint16(1000+i))
	}
	document := func() *conf.Document {
		d := services(ports...)
		for i := range d.Upstreams {
			d.Upstreams[i].Name = fmt.Sprint("app-", ports[i])
		}
		return d
	}
	for i := range 8 {
		oldDoc := document()
		ports[i] = uint16(2000 + i)
		next := &parts.Head{}
		next.RecordChanges(head, oldDoc, document(), time.Now())
		head = next
	}
	if n := len(head.Encode()); n > maxBytes {
		t.Errorf("the head with eight changes of one upstream takes %d bytes, want at most %d", n, maxBytes)
	}
}
