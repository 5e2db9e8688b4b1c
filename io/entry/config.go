package entry

import (
	"context"
	"net/http"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
	"pimentoseam/io/proc"
)

const (
	configKey           = "config"  // The key of the head.
	partPrefix          = "config/" // Followed by the part's key.
	configRetryInterval = time.Second
	peerTimeout         = time.Second
	catchUpInterval     = time.Second

	maxPropagation = 8 * time.Second // Within this time, an accepted configuration is in force everywhere.
)

// watchConfig keeps the newest configuration in force until ctx ends.
func (e *Entry) watchConfig(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil {
		item, err := e.store.Watch(ctx, configKey, after)
		if err != nil {
			e.fetchFromPeers(ctx)
			proc.Sleep(ctx, proc.Jitter(configRetryInterval))
			continue
		}
		if item.Revision == 0 {
			continue // The watch timed out without a change.
		}
		if item.Revision <= after {
			proc.Sleep(ctx, proc.Jitter(configRetryInterval)) // The store returned a stale revision.
			continue
		}
		if e.apply(ctx, item.Value, e.fetchStoredPart, "store") {
			after = item.Revision
		} else {
			proc.Sleep(ctx, proc.Jitter(configRetryInterval))
		}
	}
}

// fetchStoredPart reads a part from the store.
func (e *Entry) fetchStoredPart(ctx context.Context, key string) ([]byte, error) {
	item, err := e.store.Get(ctx, partPrefix+key)
	return item.Value, err
}

// partFetcher reads a part by its key.
type partFetcher func(ctx context.Context, key string) ([]byte, error)

// apply puts the configuration with the given encoded head in force, unless it is older than the current one.
// It reports false if the caller must try again, because a part can't be read or decoded. A head that can't be
// decoded is only logged.
func (e *Entry) apply(ctx context.Context, value []byte, fetch partFetcher, source string) bool {
	head, err := parts.Parse(value)
	if err != nil {
		e.log.Error("can't decode the configuration", "err", err)
		return true
	}
	current := e.view.Load()
	if head.Revision <= current.revision {
		return true
	}
	contents, ok := collectParts(ctx, head, current.parts, fetch)
	if !ok {
		return false
	}
	doc, err := head.Join(contents)
	if err != nil {
		e.log.Error("can't decode the configuration", "revision", head.Revision, "err", err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if head.Revision <= e.view.Load().revision {
		return true
	}
	e.publish(&view{revision: head.Revision, doc: doc, encodedHead: value, parts: contents}, head.Memberships(doc))
	e.events.Add("config", "", e.settings.Name, "revision "+itoa(head.Revision)+" from "+source)
	e.log.Info("configuration in force", "revision", head.Revision, "source", source)
	return true
}

// collectParts returns the contents of the head's parts, fetching those that are not known.
func collectParts(ctx context.Context, head *parts.Head, known map[string][]byte, fetch partFetcher) (map[string][]byte, bool) {
	contents := make(map[string][]byte, len(head.Parts))
	for _, p := range head.Parts {
		data, ok := known[p.Key]
		if !ok {
			var err error
			if data, err = fetch(ctx, p.Key); err != nil || len(data) == 0 {
				return nil, false
			}
		}
		contents[p.Key] = data
	}
	return contents, true
}

// publish indexes a view, links to its upstreams and puts it in force. The caller must hold e.mu.
func (e *Entry) publish(v *view, previous map[string][]parts.Membership) {
	doc := v.doc
	v.callers = make(map[string]*conf.Caller, len(doc.Callers))
	v.targets = make(map[string][]*upstream, len(doc.Targets))
	for i := range doc.Callers {
		v.callers[doc.Callers[i].TokenHash] = &doc.Callers[i]
	}
	configured := make(map[string]*upstream, len(doc.Upstreams))
	for _, c := range doc.Upstreams {
		u := e.upstreams[c.Name]
		if u != nil && u.conf.Load().Address == c.Address {
			u.conf.Store(&c)
		} else {
			u = e.newUpstream(c)
		}
		configured[c.Name] = u
		v.targets[c.Target] = append(v.targets[c.Target], u)
	}
	v.previousOwners = e.linkPreviousOwners(previous, configured)
	for name, u := range e.upstreams {
		if configured[name] != u && e.previousOwners[u.conf.Load().Address] != u {
			u.retire()
		}
	}
	e.upstreams = configured
	e.view.Store(v)
}

// observeRevision records that a configuration revision is in force at another process.
func (e *Entry) observeRevision(revision int64) {
	current := e.view.Load().revision
	if revision <= current {
		return
	}
	next := &newerConfig{revision: revision, since: time.Now()}
	old := e.newerConfig.Load()
	if old != nil && old.revision > current {
		next.revision, next.since = max(revision, old.revision), old.since
	}
	e.newerConfig.CompareAndSwap(old, next)
	select {
	case e.catchUpSignal <- struct{}{}:
	default:
	}
}

// catchUp fetches the configuration from the other entries when a newer one is known to be in force, so that
// an entry without a connection to the store does not stay outdated.
func (e *Entry) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.catchUpSignal:
		}
		e.fetchFromPeers(ctx)
		proc.Sleep(ctx, proc.Jitter(catchUpInterval))
	}
}

// fetchFromPeers puts the newest configuration of the other entries in force.
func (e *Entry) fetchFromPeers(ctx context.Context) {
	for _, vm := range e.fleet.Load().vms {
		if vm.Role != "entry" || vm.Name == e.settings.Name {
			continue
		}
		base := "http://" + vm.Address.String() + "/control/config"
		value, err := e.fetchFromPeer(ctx, base)
		if err != nil {
			continue
		}
		fetch := func(ctx context.Context, key string) ([]byte, error) {
			return e.fetchFromPeer(ctx, base+"/"+key)
		}
		e.apply(ctx, value, fetch, vm.Name)
	}
}

func (e *Entry) fetchFromPeer(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return e.fetch(ctx, url)
}

// serveConfigToPeer responds with the head of the configuration, or one of its parts, to another entry.
func (e *Entry) serveConfigToPeer(w http.ResponseWriter, r *http.Request) {
	v := e.view.Load()
	value := v.encodedHead
	if key := r.PathValue("key"); key != "" {
		value = v.parts[key]
	}
	if len(value) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}
