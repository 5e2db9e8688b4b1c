package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"sync"
	"time"

	"pimentoseam/core/event"
	"pimentoseam/io/server"
)

// collectTimeout is the time limit for collecting the events of other processes.
const collectTimeout = 2 * time.Second

// showEvents merges the events of all processes into one time line.
func (e *Entry) showEvents(w http.ResponseWriter, r *http.Request) {
	query := url.Values{"request": {r.URL.Query().Get("request")}, "since": {r.URL.Query().Get("since")}}
	since, _ := time.Parse(time.RFC3339Nano, query.Get("since"))
	all := e.events.Since(since, query.Get("request"))
	ctx, cancel := context.WithTimeout(r.Context(), collectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, addr := range e.otherProcesses() {
		wg.Go(func() {
			found := e.fetchEvents(ctx, "http://"+addr.String()+"/control/events?"+query.Encode())
			mu.Lock()
			defer mu.Unlock()
			all = append(all, found...)
		})
	}
	wg.Wait()
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if !a.Time.Equal(b.Time) {
			return a.Time.Before(b.Time)
		}
		if a.Process != b.Process {
			return a.Process < b.Process
		}
		return a.Seq < b.Seq
	})
	server.WriteJSON(w, http.StatusOK, all)
}

// otherProcesses returns the control addresses of the other entries and the agents.
func (e *Entry) otherProcesses() []netip.AddrPort {
	var found []netip.AddrPort
	for _, vm := range e.fleet.Load().vms {
		if vm.Role == "entry" && vm.Name != e.settings.Name {
			found = append(found, vm.Address)
		}
	}
	for _, c := range e.view.Load().doc.Upstreams {
		found = append(found, c.Address)
	}
	return found
}

// fetchEvents returns the events of another process, or nil if they can't be read.
func (e *Entry) fetchEvents(ctx context.Context, url string) []event.Event {
	data, err := e.fetch(ctx, url)
	if err != nil {
		return nil
	}
	var found []event.Event
	if err := json.Unmarshal(data, &found); err != nil {
		return nil
	}
	return found
}
