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
	// entryTTL ends the key of an entry that is gone; the store allows ten minutes.
	entryTTL     = 5 * time.Minute
	entryRenew   = 2 * time.Minute
	registerWait = 2 * time.Second // Between tries to register.
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
	if _, _, err := g.store.Commit(ctx, nil, []platform.Put{put}, nil); err != nil {
		return 0, err
	}
	page, err := g.store.ReadAll(ctx, entryPrefix, false)
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
	for _, p := range g.gossip.LivePeers() {
		old = max(old, p.Age())
		for _, key := range p.Beat.ChangingRole {
			away[key] = true
		}
		add(sum, p.Beat.Loads)
	}
	o := &others{at: time.Now(), old: old, load: sum, away: away}
	g.others.Store(o)
	return o
}
