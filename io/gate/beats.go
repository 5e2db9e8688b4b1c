package gate

import (
	"cmp"
	"slices"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/cached"
	"pimentoseam/core/stamp"
)

const (
	// maxBeatPrefixes limits the prefixes in one beat.
	maxBeatPrefixes = 200
	// maxDigestPrefixes limits the prefixes in one digest of a zone.
	maxDigestPrefixes = 600
	// maxDigestLoads limits the loads in a digest to about 48 kB, at about 24 bytes each; a datagram has 64 kB at most.
	maxDigestLoads = 2000
)

// gossipSource makes the beats that a gate sends and handles those that it receives.
type gossipSource struct {
	*Gate
}

// Beat returns this entry's present state for the other entries of its zone.
func (g gossipSource) Beat() *beat.Beat {
	b := g.newBeat()
	b.Loads = loadList(g.ownLoads())
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Prefixes, g.beatPrefixes = g.beatPrefixes, nil
	return b
}

// Digest returns the digest of this entry's zone for the other zones.
func (g gossipSource) Digest() *beat.Beat {
	b := g.newBeat()
	byKey := g.ownLoads()
	changing := make(map[uint32]bool)
	for _, key := range b.ChangingRole {
		changing[key] = true
	}
	b.Entries = uint32(g.gossip.ZoneEntries())
	for _, p := range g.gossip.Peers() {
		if !p.Alive() {
			continue
		}
		addLoads(byKey, p.Beat.Loads)
		b.PrefillWork += p.Beat.PrefillWork
		b.HasStoreWatch = b.HasStoreWatch || p.Beat.HasStoreWatch
		for _, key := range p.Beat.ChangingRole {
			changing[key] = true
		}
	}
	b.Loads, b.ChangingRole = loadList(byKey), b.ChangingRole[:0]
	if len(b.Loads) > maxDigestLoads {
		// Omit the least loaded upstreams: taking them for idle causes the smallest error.
		slices.SortFunc(b.Loads, func(x, y beat.Load) int { return cmp.Compare(y.Running, x.Running) })
		g.log.Warn("loads omitted from digest", "upstreams", len(b.Loads), "told", maxDigestLoads)
		b.Loads = b.Loads[:maxDigestLoads]
	}
	for key := range changing {
		b.ChangingRole = append(b.ChangingRole, key)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Prefixes, g.digestPrefixes = g.digestPrefixes, nil
	return b
}

// newBeat returns a Beat with the fields that beats and digests have in common.
func (g *Gate) newBeat() *beat.Beat {
	settings := g.settings()
	b := &beat.Beat{
		Name: settings.Name, Zone: settings.Zone, Entries: 1, Start: g.started.UnixNano(), Seq: g.beatSeq.Add(1), HasStoreWatch: g.hasStoreWatch(),
		ConfigVersion: g.version(), ShareAddr: settings.Share.String(), PrefillWork: g.prefillRate.rate(g.prefillWork.Load()), ChangingRole: g.election.changing(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.MembersRevision = stamp.Revision(g.storeList.Revision)
	return b
}

// ownLoads returns this entry's loads by upstream key.
func (g *Gate) ownLoads() map[uint32]beat.Load {
	byKey := make(map[uint32]beat.Load)
	for key, u := range g.snapshot.Load().byKey {
		if l, busy := u.load(); busy {
			byKey[key] = l
		}
	}
	return byKey
}

// addLoads adds loads to the sums in byKey.
func addLoads(byKey map[uint32]beat.Load, loads []beat.Load) {
	for _, l := range loads {
		s := byKey[l.Key]
		s.Key = l.Key
		s.Add(&l)
		byKey[l.Key] = s
	}
}

// loadList returns the loads in byKey as a list, in no particular order.
func loadList(byKey map[uint32]beat.Load) []beat.Load {
	loads := make([]beat.Load, 0, len(byKey))
	for _, l := range byKey {
		loads = append(loads, l)
	}
	return loads
}

// recordPrefixes records that an upstream has prefixes in its KV cache, or will have them after a delay, and
// queues them for the next beat and, if this entry sends the zone's digest, for that.
func (g *Gate) recordPrefixes(u *upstream, id string, prefixes []cached.Prefix, delay time.Duration) {
	added := g.cached.Record(id, prefixes, delay)
	announced := make([]beat.CachedPrefix, len(added))
	for i, prefix := range added {
		announced[i] = beat.CachedPrefix{Key: u.key, Hash: uint64(prefix), ReadyIn: uint32(delay.Milliseconds())}
	}
	sendsDigest := g.gossip.SendsDigest()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beatPrefixes = append(g.beatPrefixes, announced[:min(len(announced), max(0, maxBeatPrefixes-len(g.beatPrefixes)))]...)
	if sendsDigest {
		g.queueForDigest(announced)
	}
}

// queueForDigest adds prefixes to the next digest of the zone, up to the limit; the lock must be held.
func (g *Gate) queueForDigest(announced []beat.CachedPrefix) {
	g.digestPrefixes = append(g.digestPrefixes, announced[:min(len(announced), max(0, maxDigestPrefixes-len(g.digestPrefixes)))]...)
}

// HandleBeat handles a beat of another entry or a digest of another zone.
func (g gossipSource) HandleBeat(b *beat.Beat) {
	s := g.snapshot.Load()
	for _, p := range b.Prefixes {
		if u := s.byKey[p.Key]; u != nil {
			g.cached.Record(u.info.Load().ID, []cached.Prefix{cached.Prefix(p.Hash)}, time.Duration(p.ReadyIn)*time.Millisecond)
		}
	}
	forDigest := !b.Digest && g.gossip.SendsDigest()
	g.mu.Lock()
	if forDigest {
		g.queueForDigest(b.Prefixes)
	}
	g.mu.Unlock()
	g.compareVersions(b)
}

// compareVersions compares the versions that another entry knows with this entry's, and has them fetched if they are
// newer.
func (g *Gate) compareVersions(b *beat.Beat) {
	g.mu.Lock()
	g.newest.config = max(g.newest.config, b.ConfigVersion)
	g.newest.members = max(g.newest.members, b.MembersRevision)
	g.updateBehind()
	isNewer := b.ConfigVersion > g.version() || b.MembersRevision > g.storeList.Revision
	g.mu.Unlock()
	if !isNewer {
		return // It would take the place of one that is.
	}
	select {
	case g.newerBeats <- b:
	default:
	}
}
