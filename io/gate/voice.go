package gate

import (
	"cmp"
	"slices"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/cached"
)

const (
	// partsKept bounds what one beat tells of processed prompts.
	partsKept = 200
	// zonePartsKept bounds the same of a zone's sum.
	zonePartsKept = 600
	// mostLoads bounds the upstreams of a sum, at 24 bytes each, so that it fits a datagram.
	mostLoads = 2000
)

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
	b.Prefixes, g.parts = g.parts, nil
	return b
}

// Digest returns the present state of this entry's zone for the other zones.
func (g voice) Digest() *beat.Beat {
	b := g.state()
	sum := g.own()
	away := make(map[uint32]bool)
	for _, key := range b.ChangingRole {
		away[key] = true
	}
	for _, p := range g.gossip.Peers() {
		b.Entries++
		if !p.Alive() {
			continue
		}
		add(sum, p.Beat.Loads)
		b.PromptWork += p.Beat.PromptWork
		b.HasStoreWatch = b.HasStoreWatch || p.Beat.HasStoreWatch
		for _, key := range p.Beat.ChangingRole {
			away[key] = true
		}
	}
	b.Loads, b.ChangingRole = loads(sum), b.ChangingRole[:0]
	if len(b.Loads) > mostLoads {
		// The least busy upstreams are the least harm if they are taken for idle.
		slices.SortFunc(b.Loads, func(x, y beat.Load) int { return cmp.Compare(y.Running, x.Running) })
		g.log.Warn("sum cut", "upstreams", len(b.Loads), "told", mostLoads)
		b.Loads = b.Loads[:mostLoads]
	}
	for key := range away {
		b.ChangingRole = append(b.ChangingRole, key)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Prefixes, g.zoneParts = g.zoneParts, nil
	return b
}

// state returns what beats and sums have in common.
func (g *Gate) state() *beat.Beat {
	set := g.set()
	b := &beat.Beat{
		Name: set.Name, Zone: set.Zone, Entries: 1, Start: g.began.UnixNano(), Seq: g.beats.Add(1), HasStoreWatch: g.sees(),
		ConfigVersion: g.version(), ShareAddr: set.Share.String(), PromptWork: g.demand.rate(g.prompted.Load()), ChangingRole: g.lead.changing(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.MembersRevision = g.listed.Revision
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
		s.Add(&l)
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
func (g *Gate) noteParts(u *upstream, id string, chains []cached.Prefix, delay time.Duration) {
	news := g.cached.Record(id, chains, delay)
	parts := make([]beat.CachedPrefix, len(news))
	for i, c := range news {
		parts[i] = beat.CachedPrefix{Key: u.key, Hash: uint64(c), ReadyIn: uint32(delay.Milliseconds())}
	}
	relay := g.gossip.IsRelay()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts = append(g.parts, parts[:min(len(parts), max(0, partsKept-len(g.parts)))]...)
	if relay {
		g.tellZones(parts)
	}
}

// tellZones has the next sum of the zone tell of parts; the lock must be held.
func (g *Gate) tellZones(parts []beat.CachedPrefix) {
	g.zoneParts = append(g.zoneParts, parts[:min(len(parts), max(0, zonePartsKept-len(g.zoneParts)))]...)
}

// HandleBeat takes over what another entry or zone tells.
func (g voice) HandleBeat(b *beat.Beat) {
	f := g.fleet.Load()
	for _, p := range b.Prefixes {
		if u := f.byKey[p.Key]; u != nil {
			g.cached.Record(u.info.Load().ID, []cached.Prefix{cached.Prefix(p.Hash)}, time.Duration(p.ReadyIn)*time.Millisecond)
		}
	}
	relay := !b.Digest && g.gossip.IsRelay()
	g.mu.Lock()
	if relay {
		g.tellZones(b.Prefixes)
	}
	g.rumour.config = max(g.rumour.config, b.ConfigVersion)
	g.rumour.members = max(g.rumour.members, b.MembersRevision)
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
