package gate

import "time"

const (
	// watchers is the number of entries, in the first zones by name, that watch the store; the others
	// learn of changes by their beats.
	watchers = 2
	// watchFast bounds a watch, since it can fall silent: a change must then still be read within
	// the two seconds that it may take.
	watchFast = 900 * time.Millisecond
	// seesTime is the silence of the store after which an entry no longer counts as a watcher.
	seesTime = 1500 * time.Millisecond
	// lagTime is how long an entry that others are ahead of relies on them.
	lagTime = 600 * time.Millisecond
)

// retryEach is the time between calls to a store that fails, for each entry: together they find its return
// soon, and one that does tells the others.
const retryEach = 100 * time.Millisecond

// retryMost returns the longest time between this entry's calls to a store that fails.
func (g *Gate) retryMost() time.Duration {
	return min(retryLongest, max(retryLeast, retryEach*time.Duration(g.gossip.NumEntries())))
}

const (
	retryLeast   = time.Second
	retryLongest = 10 * time.Second
)

func watchWait() time.Duration {
	return watchFast
}

// rumour is the newest that other entries said they know.
type rumour struct {
	config  int64
	members int64
	since   time.Time // Since when this entry knows less; zero if it does not.
}

// lagging reports whether other entries know more; the lock must be held.
func (g *Gate) lagging() bool {
	behind := g.rumour.config > g.version() || g.rumour.members > g.listed.Revision
	switch {
	case !behind:
		g.rumour.since = time.Time{}
	case g.rumour.since.IsZero():
		g.rumour.since = time.Now()
	}
	return behind
}

// sees reports whether this entry hears of changes from the store itself.
func (g *Gate) sees() bool {
	return g.watchConfig.RespondedWithin(seesTime) && g.watchMembers.RespondedWithin(seesTime)
}

// rests reports whether enough other entries watch the store for this one, which also keeps up with them.
func (g *Gate) rests() bool {
	g.mu.Lock()
	late := g.lagging() && time.Since(g.rumour.since) > lagTime
	g.mu.Unlock()
	if late {
		return false
	}
	set, before := g.set(), 0
	for _, p := range g.gossip.Peers() {
		if p.Alive() && p.Beat.HasStoreWatch && p.Beat.Name < set.Name {
			before++
		}
	}
	for _, z := range g.gossip.Zones() {
		if z.Alive() && z.Beat.HasStoreWatch && z.Beat.Zone < set.Zone {
			before++
		}
	}
	return before >= watchers
}

// configAt returns the store's revision of the configuration in force.
func (g *Gate) configAt() int64 {
	if d := g.config.Load(); d != nil {
		return d.item.Revision
	}
	return 0
}

// membersAt returns the revision of the newest change of the list of upstreams that is known.
func (g *Gate) membersAt() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed.Revision
}
