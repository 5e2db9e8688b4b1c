package tally

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/usage"
	"pimentoseam/io/limit"
)

const (
	usagePath   = "/usage"
	windowParam = "window"
	zoneParam   = "zone" // The whole zone's counts are asked for.

	// zoneTimeout limits a fetch within the zone, and remoteTimeout one from another zone, which makes such fetches in turn.
	zoneTimeout   = 500 * time.Millisecond
	remoteTimeout = 1200 * time.Millisecond
	// maxUsageBytes limits the body of a request or response: 14 windows of 36 entries with 80 organisations have about 1 MB.
	maxUsageBytes = 2 << 20
	// maxFetches limits the fetches at the same time; an entry has a tenth of a core.
	maxFetches = 8
)

// Register adds the calls of other entries to mux.
func (t *Tally) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+usagePath, t.serveGet)
	mux.HandleFunc("POST "+usagePath, t.servePost)
}

// serveGet sends the parts of a window that this entry has, or the total of its zone.
func (t *Tally) serveGet(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.ParseInt(r.URL.Query().Get(windowParam), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Query().Has(zoneParam) {
		t.write(w, t.zoneTotal(r.Context(), window))
		return
	}
	t.write(w, t.book.Parts(window))
}

// servePost takes copies of the counts of another entry.
func (t *Tally) servePost(w http.ResponseWriter, r *http.Request) {
	if t.entry.IsStopping() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var parts []usage.Part
	data, err := limit.ReadAll(r.Body, maxUsageBytes)
	if err == nil {
		err = cbor.Unmarshal(data, &parts)
	}
	if err != nil {
		t.log.Warn("counts of entry not read", "err", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.book.Merge(t.present(), parts)
}

// Collect returns the counts of a window from all entries, and whether all known ones are covered. Zones that were covered in the
// last attempt for the window aren't asked again. It must not be called concurrently.
func (t *Tally) Collect(ctx context.Context, window int64) (counts map[string]int64, complete bool) {
	if t.covered == nil || t.coveredWindow != window {
		t.covered, t.coveredWindow = make(map[string]*usage.Total), window
	}
	remote := t.recent(func(p Peer) bool { return p.Zone != t.zone && t.covered[p.Zone] == nil })
	totals := make([]*usage.Total, len(remote)+1)
	var wg sync.WaitGroup
	for i, p := range remote {
		wg.Go(func() {
			total := &usage.Total{Complete: true} // An entry of a released version counts nothing.
			if t.get(ctx, p, remoteTimeout, zoneQuery(window), total) {
				totals[i] = total
			}
		})
	}
	if own := t.covered[t.zone]; own != nil {
		totals[len(remote)] = own
	} else {
		totals[len(remote)] = t.zoneTotal(ctx, window)
	}
	wg.Wait()
	complete = true
	zones := append(remote, Peer{Zone: t.zone})
	found := slices.Collect(maps.Values(t.covered))
	for i, total := range totals {
		switch {
		case total == nil:
			complete = false
		case !total.Complete:
			complete = false
			found = append(found, total)
		case t.covered[zones[i].Zone] == nil:
			t.covered[zones[i].Zone] = total
			found = append(found, total)
		}
	}
	if complete {
		t.covered = nil
	}
	return usage.Combine(found), complete
}

// recent returns the peers that were heard in the last windows and that match. Others have no counts that aren't elsewhere.
func (t *Tally) recent(matches func(Peer) bool) []Peer {
	var list []Peer
	for _, p := range t.entry.Peers() {
		if p.ShareAddr != "" && p.Age < 2*t.length && matches(p) {
			list = append(list, p)
		}
	}
	return list
}

// zoneTotal returns the counts of a window from all entries of the zone.
func (t *Tally) zoneTotal(ctx context.Context, window int64) *usage.Total {
	var mu sync.Mutex
	var wg sync.WaitGroup
	parts, slots := t.book.Parts(window), make(chan struct{}, maxFetches)
	var silent []Peer
	for _, p := range t.recent(func(p Peer) bool { return p.Zone == t.zone }) {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var found []usage.Part
			ok := t.get(ctx, p, zoneTimeout, windowQuery(window), &found)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				parts = append(parts, found...)
			} else {
				silent = append(silent, p)
			}
		})
	}
	wg.Wait()
	total := usage.NewTotal(t.zone, parts)
	total.Complete = true
	for _, p := range silent {
		// Waiting for an entry that is no longer heard is of no use.
		if p.Alive && !hasSource(total.Sources, p) {
			total.Complete = false
		}
	}
	return total
}

// hasSource reports whether counts of a peer are among those of sources.
func hasSource(sources []usage.Source, p Peer) bool {
	for _, s := range sources {
		if s.Name == sourceName(p.Name, p.ShareAddr) {
			return true
		}
	}
	return false
}

func windowQuery(window int64) url.Values {
	return url.Values{windowParam: {strconv.FormatInt(window, 10)}}
}

func zoneQuery(window int64) url.Values {
	q := windowQuery(window)
	q.Set(zoneParam, "1")
	return q
}

// get decodes the response to a GET request to a peer into out, a pointer. It returns false if there is none.
func (t *Tally) get(ctx context.Context, p Peer, timeout time.Duration, query url.Values, out any) bool {
	status, data, err := t.call(ctx, timeout, http.MethodGet, p, query, nil)
	if err == nil && status == http.StatusOK {
		err = cbor.Unmarshal(data, out)
	}
	if err != nil || (status != http.StatusOK && status != http.StatusNotFound) {
		t.log.Info("counts not fetched", "from", p.Name, "status", status, "err", err)
		return false
	}
	return true
}

// post sends copies to a peer and reports whether it has taken them.
func (t *Tally) post(ctx context.Context, p Peer, parts []usage.Part) bool {
	data, err := cbor.Marshal(parts)
	if err != nil {
		panic(err) // a Part always encodes
	}
	status, _, err := t.call(ctx, copyTimeout, http.MethodPost, p, nil, data)
	if err != nil || status != http.StatusOK {
		t.log.Info("counts not copied", "to", p.Name, "status", status, "err", err)
		return false
	}
	return true
}

// call makes one call to a peer and returns the response.
func (t *Tally) call(ctx context.Context, timeout time.Duration, method string, p Peer, query url.Values, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := "http://" + p.ShareAddr + usagePath
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := t.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := limit.ReadAll(resp.Body, maxUsageBytes)
	return resp.StatusCode, data, err
}

// write sends v, a pointer to a Total or a list of parts, as the response.
func (t *Tally) write(w http.ResponseWriter, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // parts and totals always encode
	}
	if _, err := w.Write(data); err != nil {
		t.log.Info("counts not sent", "err", err)
	}
}
