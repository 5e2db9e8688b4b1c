package gate

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	entryPrefix = "entries/" // Store keys of the entries; an entry's name follows.
	// entryTTL is the lease time of an entry's key, after which the key of a lost entry expires. The store allows
	// at most ten minutes.
	entryTTL           = 5 * time.Minute
	entryRenewInterval = 2 * time.Minute
	// eraCheckInterval is the time between checks whether the store has come back from an older copy, which may lack
	// this entry's key.
	eraCheckInterval = 2 * time.Second
	// minRegisterWait is the shortest wait after a failed registration, which is not urgent.
	minRegisterWait = time.Second
	// peerStateTTL is how long the summed state of the other entries is used before it is computed again.
	peerStateTTL = 20 * time.Millisecond
)

// entryRecord is the value of an entry's key in the store.
type entryRecord struct {
	Peer netip.AddrPort `json:"peer"`
	Zone string         `json:"zone"`
}

// register adds the entries at the seed addresses to the gossip and keeps this entry's key in the store until ctx
// ends.
func (g *Gate) register(ctx context.Context) {
	for _, seed := range strings.Split(g.settings().Seeds, ",") {
		if addr, err := netip.ParseAddrPort(seed); err == nil {
			g.gossip.Add(netip.AddrPortFrom(addr.Addr(), g.settings().Peer.Port()), "")
		}
	}
	value, err := json.Marshal(entryRecord{Peer: g.settings().Peer, Zone: g.settings().Zone})
	if err != nil {
		panic(err) // an address and a name always encode
	}
	var lease platform.Lease
	var retry time.Duration
	for ctx.Err() == nil {
		wait, era := entryRenewInterval, g.store.Era()
		if !lease.IsValid() {
			lease, err = g.registerAndDiscover(ctx, value)
		} else if err = g.store.Renew(ctx, lease); err == nil {
			g.refreshListed(ctx)
		}
		if err != nil {
			g.log.Warn("registration in store failed", "err", err)
			retry = g.storeRetryWait(max(retry, minRegisterWait))
			lease, wait = platform.Lease{}, retry
		} else {
			retry = 0
		}
		g.sleepInEra(ctx, proc.Jitter(wait), era)
	}
}

// refreshListed reads the list of entries again, so that those that can't be heard count as long as they are listed. A failure
// doesn't concern this entry's lease.
func (g *Gate) refreshListed(ctx context.Context) {
	if err := g.discover(ctx, true); err != nil {
		g.log.Info("entries not read", "err", err)
	}
}

// sleepInEra pauses for d or until the store is known to have come back from an older copy, which may lack this entry's
// key.
func (g *Gate) sleepInEra(ctx context.Context, d time.Duration, era int64) {
	end := time.Now().Add(d)
	for ctx.Err() == nil && time.Now().Before(end) && g.store.Era() == era {
		proc.Sleep(ctx, min(proc.Jitter(eraCheckInterval), time.Until(end)))
	}
}

// registerAndDiscover writes this entry's key under a new lease, adds the other entries in the store to the gossip and reads
// the blocked parts of prompts and the requests that are held.
func (g *Gate) registerAndDiscover(ctx context.Context, value []byte) (platform.Lease, error) {
	lease, _, err := g.store.Grant(ctx, entryTTL)
	if err != nil {
		return platform.Lease{}, err
	}
	put := platform.Put{Key: entryPrefix + g.settings().Name, Value: value, Lease: lease}
	if _, _, err := g.store.Commit(ctx, nil, []platform.Put{put}, nil); err != nil {
		return platform.Lease{}, err
	}
	if err := g.discover(ctx, false); err != nil {
		return platform.Lease{}, err
	}
	if err := g.readStored(ctx); err != nil {
		return platform.Lease{}, err
	}
	return lease, nil
}

// discover adds the entries in the store to the gossip; a stale read, which may be some seconds old, is cheaper.
func (g *Gate) discover(ctx context.Context, stale bool) error {
	page, err := g.store.ReadAll(ctx, entryPrefix, stale)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		var p entryRecord
		if err := json.Unmarshal(item.Value, &p); err != nil {
			g.log.Warn("entry key not decoded", "key", item.Key, "err", err)
			continue
		}
		g.gossip.Add(p.Peer, p.Zone)
	}
	return nil
}

// peerState is the summed state of the other entries.
type peerState struct {
	built        time.Time            // Time of the computation.
	maxAge       time.Duration        // Age of the oldest beat in it at the time built.
	loads        map[uint32]beat.Load // By upstream key.
	changingRole map[uint32]bool      // Keys of the engines that a leader, possibly this entry, is changing to another role.
}

// age returns the age of the oldest beat in the state.
func (s *peerState) age() time.Duration {
	return s.maxAge + time.Since(s.built)
}

// peerLoads returns the loads of the other entries by upstream key.
func (g *Gate) peerLoads() map[uint32]beat.Load {
	return g.peerState().loads
}

// peerState returns the summed state of the other entries from which beats arrived recently.
func (g *Gate) peerState() *peerState {
	if s := g.lastPeerState.Load(); s != nil && time.Since(s.built) < peerStateTTL {
		return s
	}
	loads, changingRole := make(map[uint32]beat.Load), make(map[uint32]bool)
	for _, key := range g.election.changing() {
		changingRole[key] = true
	}
	maxAge := time.Duration(0)
	for _, p := range g.gossip.LivePeers() {
		maxAge = max(maxAge, p.Age())
		for _, key := range p.Beat.ChangingRole {
			changingRole[key] = true
		}
		addLoads(loads, p.Beat.Loads)
	}
	s := &peerState{built: time.Now(), maxAge: maxAge, loads: loads, changingRole: changingRole}
	g.lastPeerState.Store(s)
	return s
}
