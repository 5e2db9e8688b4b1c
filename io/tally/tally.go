package tally

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"pimentoseam/core/rank"
	"pimentoseam/core/usage"
	"pimentoseam/io/answer"
	"pimentoseam/io/proc"
)

const (
	// copyInterval is the time between copies of the counts to another entry. An entry that is killed loses at most what it
	// counted in this time.
	copyInterval = time.Second
	// copyTimeout limits one copy. It is well below copyInterval, so that another entry can be tried.
	copyTimeout = 500 * time.Millisecond
	// handOverTries is the number of entries that are asked to take the counts of one that stops.
	handOverTries = 3
)

// Peer is another entry of the zone, or the entry that sends the digest of another zone.
type Peer struct {
	Name      string
	Zone      string
	ShareAddr string
	Alive     bool
	Age       time.Duration // Time since it was last heard.
}

// Entry is the entry that the Tally belongs to.
type Entry interface {
	// Peers returns the other entries of the zone that were ever heard, and one of each other zone.
	Peers() []Peer
	// IsStopping reports whether the entry is about to exit, so that it takes no copies.
	IsStopping() bool
}

// Clock tells the true time.
type Clock interface {
	True() time.Time
}

// Tally holds the counts of one entry.
type Tally struct {
	name   string
	zone   string
	length time.Duration // Of a window.
	clock  Clock
	entry  Entry
	log    *slog.Logger
	http   *http.Client
	book   *usage.Book
	keeper string // Share address of the entry with the copies; empty for none.
	// The totals of the zones that are covered in the window that Collect was last called for, unless that had all.
	coveredWindow int64
	covered       map[string]*usage.Total
}

// New returns the Tally of an entry in a zone, which started at a time and listens at an address. The address tells entries
// apart that have the same name and start.
func New(name, zone string, start time.Time, addr netip.AddrPort, length time.Duration, clock Clock, entry Entry, log *slog.Logger) *Tally {
	source := usage.Source{Name: sourceName(name, addr.String()), Start: start.UnixNano()}
	transport := answer.NewTransport(nil)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout, transport.DisableCompression = 1, 3*copyInterval, true
	return &Tally{
		name: name, zone: zone, length: length, clock: clock, entry: entry, log: log, book: usage.New(source, zone),
		// Copies are sent every second, so the connection to the entry that has them stays open.
		http: &http.Client{Transport: transport},
	}
}

func sourceName(name, shareAddr string) string {
	return name + "@" + shareAddr
}

// Count counts a request of an organisation that has just begun to run.
func (t *Tally) Count(organisation string) {
	t.book.Add(t.present(), organisation)
}

// present returns the window of this moment.
func (t *Tally) present() int64 {
	return t.clock.True().UnixNano() / int64(t.length)
}

// Run copies the counts to another entry until ctx ends.
func (t *Tally) Run(ctx context.Context) {
	for ctx.Err() == nil {
		proc.Sleep(ctx, copyInterval)
		t.copyChanged(ctx)
	}
}

// copyChanged sends the counts that have changed to the entry that keeps the copies.
func (t *Tally) copyChanged(ctx context.Context) {
	candidates := t.keepers()
	if len(candidates) == 0 {
		return
	}
	for _, p := range candidates[:min(2, len(candidates))] {
		if p.ShareAddr != t.keeper {
			t.book.ForgetCopied()
			t.keeper = p.ShareAddr
		}
		parts := t.book.Changed()
		if len(parts) == 0 {
			return
		}
		if t.post(ctx, p, parts) {
			t.book.Copied(parts)
			return
		}
	}
}

// keepers returns the entries that may keep copies, the best first. Bytes between zones are charged, so those of another zone
// are used only if this one has no other.
func (t *Tally) keepers() []Peer {
	var addrs []string
	inZone, byAddr := false, make(map[string]Peer)
	peers := t.entry.Peers()
	for _, p := range peers {
		inZone = inZone || (p.Alive && p.Zone == t.zone)
	}
	for _, p := range peers {
		if p.Alive && p.ShareAddr != "" && (p.Zone == t.zone || !inZone) {
			addrs = append(addrs, p.ShareAddr)
			byAddr[p.ShareAddr] = p
		}
	}
	list := make([]Peer, 0, len(addrs))
	for _, addr := range rank.Order(t.name, addrs) {
		list = append(list, byAddr[addr])
	}
	return list
}

// HandOver sends all counts and copies to another entry, before this one exits.
func (t *Tally) HandOver(ctx context.Context) {
	parts := t.book.All()
	if len(parts) == 0 {
		return
	}
	candidates := t.keepers()
	for _, p := range candidates[:min(handOverTries, len(candidates))] {
		if t.post(ctx, p, parts) {
			t.log.Info("counts handed over", "to", p.Name, "parts", len(parts))
			return
		}
	}
	t.log.Warn("counts not handed over", "parts", len(parts), "entries", len(candidates))
}
