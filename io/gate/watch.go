package gate

import (
	"time"

	"pimentoseam/core/probe"
)

const (
	// numWatchers is the number of entries that watch the store, the first by zone and name. The other entries learn
	// of changes from their beats.
	numWatchers = 2
	// watchTimeout limits one watch call, since a watch can stop delivering without an error. A change must still be
	// read within the required two seconds.
	watchTimeout = 900 * time.Millisecond
	// maxWatchSilence is the time without a response from the store after which an entry no longer counts as a
	// watcher.
	maxWatchSilence = 1500 * time.Millisecond
	// maxBehindTime is how long an entry whose versions are older than its peers' still relies on them.
	maxBehindTime = 600 * time.Millisecond
)

// storeRetryWait returns the longest wait of this entry after a failed call to the store, given the one before.
func (g *Gate) storeRetryWait(previous time.Duration) time.Duration {
	return probe.Wait(g.gossip.Rank(), g.gossip.NumEntries(), previous)
}

// watchWait returns the time limit of one watch call.
func watchWait() time.Duration {
	return watchTimeout
}

// peerVersions holds the newest versions that other entries have announced.
type peerVersions struct {
	config      int64     // Version of the configuration.
	members     int64     // Revision of the upstream list.
	behindSince time.Time // When this entry was first found to have older versions; zero if it is up to date.
}

// updateBehind updates behindSince and reports whether other entries have newer versions; the lock must be held.
func (g *Gate) updateBehind() bool {
	behind := g.newest.config > g.version() || g.newest.members > g.storeList.Revision
	switch {
	case !behind:
		g.newest.behindSince = time.Time{}
	case g.newest.behindSince.IsZero():
		g.newest.behindSince = time.Now()
	}
	return behind
}

// hasStoreWatch reports whether this entry receives changes from the store itself.
func (g *Gate) hasStoreWatch() bool {
	return g.watchConfig.RespondedWithin(maxWatchSilence) && g.watchMembers.RespondedWithin(maxWatchSilence)
}

// reliesOnPeers reports whether this entry needs no watch of its own: enough other entries watch the store, and
// this one has not fallen behind them. Only entries and zones whose names sort before its own count, so that the first
// ones keep watching.
func (g *Gate) reliesOnPeers() bool {
	g.mu.Lock()
	late := g.updateBehind() && time.Since(g.newest.behindSince) > maxBehindTime
	g.mu.Unlock()
	if late {
		return false
	}
	settings, watching := g.settings(), 0
	for _, p := range g.gossip.Peers() {
		if p.Alive() && p.Beat.HasStoreWatch && p.Beat.Name < settings.Name {
			watching++
		}
	}
	for _, z := range g.gossip.Zones() {
		if z.Alive() && z.Beat.HasStoreWatch && z.Beat.Zone < settings.Zone {
			watching++
		}
	}
	return watching >= numWatchers
}

// configRevision returns the store revision of the configuration in force, 0 for none.
func (g *Gate) configRevision() int64 {
	if c := g.config.Load(); c != nil {
		return c.item.Revision
	}
	return 0
}

// membersRevision returns the revision of the newest known change of the upstream list.
func (g *Gate) membersRevision() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeList.Revision
}
