package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/beat"
	"pimentoseam/io/follow"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	shareTimeout = 800 * time.Millisecond
	sharePause   = 100 * time.Millisecond // Between fetches from other entries.
	mostShare    = 16 << 20               // Bytes.
)

// catchUp asks other entries for what they know and this one doesn't.
func (g *Gate) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-g.behind:
			if b.ConfigVersion > g.version() {
				g.fetchConfig(ctx, b)
			}
			g.mu.Lock()
			older := b.MembersRevision > g.listed.Revision
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
	after := int64(0) // The whole list, unless one is known already.
	g.mu.Lock()
	if g.known {
		after = g.listed.Revision
	}
	g.mu.Unlock()
	var l listed
	if !g.fetch(ctx, b, "/members?after="+strconv.FormatInt(after, 10), &l) {
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

// fetch asks the entry that sent b; it logs and returns false if there is no usable answer.
func (g *Gate) fetch(ctx context.Context, b *beat.Beat, path string, into any) bool {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.ShareAddr+path, nil)
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
