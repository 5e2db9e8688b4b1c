package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/beat"
	"pimentoseam/core/stamp"
	"pimentoseam/io/answer"
	"pimentoseam/io/follow"
	"pimentoseam/io/limit"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	shareTimeout  = 800 * time.Millisecond // Time limit of a fetch.
	sharePause    = 100 * time.Millisecond // Time between fetches from other entries.
	maxShareBytes = 16 << 20               // Maximum size of a response in bytes.
	// stampsParam is the query parameter of an entry that knows eras. Others get revisions in place of stamps, so that
	// they can compare them with those that they read from the store themselves.
	stampsParam = "stamps"
)

// catchUp fetches newer configurations and upstream lists from other entries until ctx ends.
func (g *Gate) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-g.newerBeats:
			if b.ConfigVersion > g.version() {
				g.fetchConfig(ctx, b)
			}
			g.mu.Lock()
			outdated := b.MembersRevision > g.storeList.Revision
			g.mu.Unlock()
			if outdated {
				g.fetchMembers(ctx, b)
			}
		}
		proc.Sleep(ctx, sharePause)
	}
}

// fetchConfig fetches the configuration from the entry that sent b and activates it.
func (g *Gate) fetchConfig(ctx context.Context, b *beat.Beat) {
	var item platform.Item
	if g.fetch(ctx, b, "/config?"+stampsParam+"=1", &item) {
		g.activate(item, b.Name)
	}
}

// fetchMembers fetches the changes of the upstream list from the entry that sent b and applies them.
func (g *Gate) fetchMembers(ctx context.Context, b *beat.Beat) {
	after := int64(0) // 0 requests the whole list.
	g.mu.Lock()
	if g.membersKnown {
		after = g.storeList.Revision
	}
	g.mu.Unlock()
	var l upstreamList
	if !g.fetch(ctx, b, "/members?"+stampsParam+"=1&after="+strconv.FormatInt(after, 10), &l) {
		return
	}
	u := follow.Update{IsSnapshot: l.Whole, Revision: l.Revision}
	for _, item := range l.Items {
		u.Items = append(u.Items, item)
	}
	for id, revision := range l.Gone {
		u.Items = append(u.Items, platform.Item{Key: platform.MemberPrefix + id, Revision: revision, Removed: true})
	}
	g.applyMembers(u)
	g.log.Info("members", "revision", l.Revision, "after", after, "changes", len(u.Items), "whole", l.Whole, "from", b.Name)
}

// newPeerClient returns a client for what other entries share.
func newPeerClient() *http.Client {
	const idleTimeout = 5 * time.Second
	transport := answer.NewTransport(nil)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 1, idleTimeout
	return &http.Client{Transport: transport}
}

// fetch decodes the response to a GET request to the entry that sent b. If that fails, it logs the error and returns
// false.
func (g *Gate) fetch(ctx context.Context, b *beat.Beat, path string, into any) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.ShareAddr+path, nil)
	if err != nil {
		g.log.Warn("fetch from entry failed", "from", b.Name, "path", path, "err", err)
		return false
	}
	resp, err := g.peerClient.Do(req)
	if err != nil {
		g.log.Warn("fetch from entry failed", "from", b.Name, "path", path, "err", err)
		return false
	}
	defer resp.Body.Close()
	data, err := limit.ReadAll(resp.Body, maxShareBytes)
	if err == nil && resp.StatusCode == http.StatusOK {
		err = cbor.Unmarshal(data, into)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		g.log.Warn("fetch from entry failed", "from", b.Name, "path", path, "status", resp.StatusCode, "err", err)
		return false
	}
	return true
}

// shareHandler serves the configuration and the upstream list to other entries.
func (g *Gate) shareHandler() http.Handler {
	mux := http.NewServeMux()
	g.duties.register(mux)
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, r *http.Request) {
		c := g.config.Load()
		if c == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		item := c.item
		if !r.URL.Query().Has(stampsParam) {
			item.Revision = stamp.Revision(item.Revision)
		}
		g.writeCBOR(w, item)
	})
	mux.HandleFunc("GET /members", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			after = 0 // The whole list.
		}
		g.mu.Lock()
		plain := !r.URL.Query().Has(stampsParam)
		if plain {
			after = stamp.Join(stamp.Era(g.storeList.Revision), after)
		}
		known, changes := g.membersKnown, g.storeList.changesSince(after)
		g.mu.Unlock()
		if plain {
			changes = changes.withoutEras()
		}
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		g.writeCBOR(w, changes)
	})
	return mux
}

// writeCBOR responds with the CBOR encoding of v.
func (g *Gate) writeCBOR(w http.ResponseWriter, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		g.log.Error("response not encoded", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(data); err != nil {
		g.log.Info("response to entry not sent", "err", err)
	}
}
