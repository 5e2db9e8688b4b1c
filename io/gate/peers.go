package gate

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/beat"
	"pimentoseam/core/cached"
	"pimentoseam/io/follow"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	entryPrefix = "entries/" // Store keys of the entries; an entry's name follows.
	// entryTTL ends the key of an entry that is gone; the store allows ten minutes.
	entryTTL     = 5 * time.Minute
	entryRenew   = 2 * time.Minute
	registerWait = 2 * time.Second // Between tries to register.
	shareTimeout = 800 * time.Millisecond
	sharePause   = 100 * time.Millisecond // Between fetches from other entries.
	mostShare    = 16 << 20               // Bytes.
	// partsKept bounds what one beat tells of processed prompts.
	partsKept = 200
	// zonePartsKept bounds the same of a zone's sum.
	zonePartsKept = 600
	// mostLoads bounds the upstreams of a sum, at 24 bytes each, so that it fits a datagram.
	mostLoads = 2000
	// seenFor is how long the sum of the other entries' loads is used before it is made anew.
	seenFor = 20 * time.Millisecond
)

// presence is the value of an entry's key.
type presence struct {
	Peer netip.AddrPort `json:"peer"`
	Zone string         `json:"zone"`
}

// register makes this entry known to the others and learns of them.
func (g *Gate) register(ctx context.Context) {
	for _, seed := range strings.Split(g.set().Seeds, ",") {
		if addr, err := netip.ParseAddrPort(seed); err == nil {
			g.gossip.Add(netip.AddrPortFrom(addr.Addr(), g.set().Peer.Port()), "")
		}
	}
	value, err := json.Marshal(presence{Peer: g.set().Peer, Zone: g.set().Zone})
	if err != nil {
		panic(err) // an address and a name always encode
	}
	var lease int64
	for ctx.Err() == nil {
		wait := entryRenew
		if lease == 0 {
			lease, err = g.announce(ctx, value)
		} else {
			err = g.store.Renew(ctx, lease)
		}
		if err != nil {
			g.log.Warn("not registered", "err", err)
			lease, wait = 0, registerWait
		}
		proc.Sleep(ctx, proc.Jitter(wait))
	}
}

// announce writes this entry's key under a new lease and reads those of the others.
func (g *Gate) announce(ctx context.Context, value []byte) (int64, error) {
	lease, _, err := g.store.Grant(ctx, entryTTL)
	if err != nil {
		return 0, err
	}
	put := platform.Put{Key: entryPrefix + g.set().Name, Value: value, Lease: lease}
	if _, _, err := g.store.Swap(ctx, nil, []platform.Put{put}, nil); err != nil {
		return 0, err
	}
	page, err := g.store.All(ctx, entryPrefix, false)
	if err != nil {
		return 0, err
	}
	for _, item := range page.Items {
		var p presence
		if err := json.Unmarshal(item.Value, &p); err != nil {
			g.log.Warn("entry not understood", "key", item.Key, "err", err)
			continue
		}
		g.gossip.Add(p.Peer, p.Zone)
	}
	return lease, nil
}

// voice is what a gate tells other entries and hears from them.
type voice struct {
	*Gate
}

// Beat returns this entry's present state for the others of its zone.
func (g voice) Beat() *beat.Beat {
	b := g.state()
	b.Loads = loads(g.own())
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Parts, g.parts = g.parts, nil
	return b
}

// Sum returns the present state of this entry's zone for the other zones.
func (g voice) Sum() *beat.Beat {
	b := g.state()
	sum := g.own()
	away := make(map[uint32]bool)
	for _, key := range b.Away {
		away[key] = true
	}
	for _, p := range g.gossip.Peers() {
		b.Entries++
		if !p.Alive() {
			continue
		}
		add(sum, p.Beat.Loads)
		b.Rate += p.Beat.Rate
		b.Sees = b.Sees || p.Beat.Sees
		for _, key := range p.Beat.Away {
			away[key] = true
		}
	}
	b.Loads, b.Away = loads(sum), b.Away[:0]
	if len(b.Loads) > mostLoads {
		// The least busy upstreams are the least harm if they are taken for idle.
		slices.SortFunc(b.Loads, func(x, y beat.Load) int { return cmp.Compare(y.Running, x.Running) })
		g.log.Warn("sum cut", "upstreams", len(b.Loads), "told", mostLoads)
		b.Loads = b.Loads[:mostLoads]
	}
	for key := range away {
		b.Away = append(b.Away, key)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Parts, g.zoneParts = g.zoneParts, nil
	return b
}

// state returns what beats and sums have in common.
func (g *Gate) state() *beat.Beat {
	set := g.set()
	b := &beat.Beat{
		Name: set.Name, Zone: set.Zone, Entries: 1, Start: g.began.UnixNano(), Seq: g.beats.Add(1), Sees: g.sees(),
		Config: g.version(), Share: set.Share.String(), Rate: g.demand.rate(g.prompted.Load()), Away: g.lead.changing(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Members = g.listed.Revision
	return b
}

// own returns what this entry has in progress by upstream key.
func (g *Gate) own() map[uint32]beat.Load {
	sum := make(map[uint32]beat.Load)
	for key, u := range g.fleet.Load().byKey {
		if l, busy := u.load(); busy {
			sum[key] = l
		}
	}
	return sum
}

// add adds loads to a sum by upstream key.
func add(sum map[uint32]beat.Load, list []beat.Load) {
	for _, l := range list {
		s := sum[l.Key]
		s.Key = l.Key
		s.Running += l.Running
		s.Making += l.Making
		s.Blocks += l.Blocks
		for i := range s.Waiting {
			s.Waiting[i] += l.Waiting[i]
		}
		sum[l.Key] = s
	}
}

func loads(sum map[uint32]beat.Load) []beat.Load {
	list := make([]beat.Load, 0, len(sum))
	for _, l := range sum {
		list = append(list, l)
	}
	return list
}

// noteParts records that an upstream has processed chains, or will after a delay, here and for the others.
func (g *Gate) noteParts(u *upstream, id string, chains []cached.Chain, delay time.Duration) {
	news := g.cached.Note(id, chains, delay)
	parts := make([]beat.Part, len(news))
	for i, c := range news {
		parts[i] = beat.Part{Key: u.key, Chain: uint64(c), Delay: uint32(delay.Milliseconds())}
	}
	relay := g.gossip.Relay()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts = append(g.parts, parts[:min(len(parts), max(0, partsKept-len(g.parts)))]...)
	if relay {
		g.tellZones(parts)
	}
}

// tellZones has the next sum of the zone tell of parts; the lock must be held.
func (g *Gate) tellZones(parts []beat.Part) {
	g.zoneParts = append(g.zoneParts, parts[:min(len(parts), max(0, zonePartsKept-len(g.zoneParts)))]...)
}

// Hear takes over what another entry or zone tells.
func (g voice) Hear(b *beat.Beat) {
	f := g.fleet.Load()
	for _, p := range b.Parts {
		if u := f.byKey[p.Key]; u != nil {
			g.cached.Note(u.info.Load().ID, []cached.Chain{cached.Chain(p.Chain)}, time.Duration(p.Delay)*time.Millisecond)
		}
	}
	relay := !b.Sum && g.gossip.Relay()
	g.mu.Lock()
	if relay {
		g.tellZones(b.Parts)
	}
	g.rumour.config = max(g.rumour.config, b.Config)
	g.rumour.members = max(g.rumour.members, b.Members)
	behind := g.lagging()
	g.mu.Unlock()
	if !behind {
		return
	}
	select {
	case g.behind <- b:
	default:
	}
}

// catchUp asks other entries for what they know and this one doesn't.
func (g *Gate) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-g.behind:
			if b.Config > g.version() {
				g.fetchConfig(ctx, b)
			}
			g.mu.Lock()
			older := b.Members > g.listed.Revision
			g.mu.Unlock()
			if older {
				g.fetchMembers(ctx, b)
			}
		}
		proc.Sleep(ctx, sharePause)
	}
}

func (g *Gate) fetchConfig(ctx context.Context, b *beat.Beat) {
	var item platform.Item
	if g.fetch(ctx, b, "/config", &item) {
		g.adopt(item, b.Name)
	}
}

func (g *Gate) fetchMembers(ctx context.Context, b *beat.Beat) {
	after := g.membersAt()
	g.mu.Lock()
	if !g.known {
		after = 0
	}
	g.mu.Unlock()
	var l listed
	if !g.fetch(ctx, b, "/members?after="+strconv.FormatInt(after, 10), &l) {
		return
	}
	u := follow.Update{Whole: l.Whole, Revision: l.Revision}
	for _, item := range l.Items {
		u.Items = append(u.Items, item)
	}
	for id, revision := range l.Gone {
		u.Items = append(u.Items, platform.Item{Key: platform.MemberPrefix + id, Revision: revision, Removed: true})
	}
	g.applyMembers(u)
	g.log.Info("members", "revision", l.Revision, "after", after, "changes", len(u.Items), "whole", l.Whole, "from", b.Name)
}

// fetch asks the entry that sent b; it logs and returns false if there is no usable answer.
func (g *Gate) fetch(ctx context.Context, b *beat.Beat, path string, into any) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Share+path, nil)
	if err != nil {
		g.log.Warn("not fetched", "from", b.Name, "path", path, "err", err)
		return false
	}
	answer, err := g.peer.Do(req)
	if err != nil {
		g.log.Warn("not fetched", "from", b.Name, "path", path, "err", err)
		return false
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, mostShare))
	if err == nil && answer.StatusCode == http.StatusOK {
		err = cbor.Unmarshal(data, into)
	}
	if err != nil || answer.StatusCode != http.StatusOK {
		g.log.Warn("not fetched", "from", b.Name, "path", path, "status", answer.StatusCode, "err", err)
		return false
	}
	return true
}

// shareHandler answers other entries.
func (g *Gate) shareHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) {
		d := g.config.Load()
		if d == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		g.write(w, d.item)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			after = 0 // All of them.
		}
		g.mu.Lock()
		known, changes := g.known, g.listed.since(after)
		g.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		g.write(w, changes)
	})
	return mux
}

func (g *Gate) write(w http.ResponseWriter, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		g.log.Error("not shared", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(data); err != nil {
		g.log.Info("not shared", "err", err)
	}
}

// others is the load of all other entries by upstream key.
type others struct {
	at   time.Time
	old  time.Duration // Age of the oldest beat in it when it was made.
	load map[uint32]beat.Load
	away map[uint32]bool
}

// age returns how old the oldest part of it is.
func (o *others) age() time.Duration {
	return o.old + time.Since(o.at)
}

// elsewhere returns the load of the other entries that were heard lately.
func (g *Gate) elsewhere() map[uint32]beat.Load {
	return g.told().load
}

// told returns what the other entries that were heard lately tell.
func (g *Gate) told() *others {
	if o := g.others.Load(); o != nil && time.Since(o.at) < seenFor {
		return o
	}
	sum, away := make(map[uint32]beat.Load), make(map[uint32]bool)
	for _, key := range g.lead.changing() {
		away[key] = true
	}
	old := time.Duration(0)
	for _, p := range append(g.gossip.Peers(), g.gossip.Zones()...) {
		if !p.Alive() {
			continue
		}
		old = max(old, p.Age())
		for _, key := range p.Beat.Away {
			away[key] = true
		}
		add(sum, p.Beat.Loads)
	}
	o := &others{at: time.Now(), old: old, load: sum, away: away}
	g.others.Store(o)
	return o
}

// entries returns how many entries share the budgets, those lost a short while ago included.
func (g *Gate) entries() int {
	n := 1 + len(g.gossip.Peers())
	for _, z := range g.gossip.Zones() {
		n += int(z.Beat.Entries)
	}
	return n
}
