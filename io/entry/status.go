package entry

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"sort"

	"pimentoseam/core/report"
	"pimentoseam/io/admin"
	"pimentoseam/io/server"
)

func (e *Entry) showStatus(w http.ResponseWriter, r *http.Request) {
	status := report.Status{Revision: e.view.Load().revision}
	status.Entries = append(status.Entries, e.ownStatus())
	if r.URL.Query().Get("peers") != "false" {
		status.Entries = append(status.Entries, e.peerStatus(r)...)
	}
	e.mu.Lock()
	for _, u := range e.upstreams {
		status.Upstreams = append(status.Upstreams, u.status())
	}
	e.mu.Unlock()
	sort.Slice(status.Upstreams, func(i, j int) bool { return status.Upstreams[i].Name < status.Upstreams[j].Name })
	for i := range status.Entries {
		status.Entries[i].IsOutdated = status.Entries[i].Revision < status.Revision
	}
	server.WriteJSON(w, http.StatusOK, &status)
}

func (e *Entry) ownStatus() report.EntryStatus {
	return report.EntryStatus{
		Name:      e.settings.Name,
		Zone:      e.settings.Zone,
		Revision:  e.view.Load().revision,
		IsLeader:  e.election.isLeader(),
		Running:   e.activeRequests.Load(),
		IsLeaving: e.isStopping(),
	}
}

// peerStatus returns the status of the other entries; one that does not respond is listed as unreachable.
func (e *Entry) peerStatus(r *http.Request) []report.EntryStatus {
	var found []report.EntryStatus
	for _, vm := range e.fleet.Load().vms {
		if vm.Role != "entry" || vm.Name == e.settings.Name {
			continue
		}
		found = append(found, fetchPeerStatus(r, vm.Name, vm.Zone, vm.Address))
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

func fetchPeerStatus(r *http.Request, name, zone string, addr netip.AddrPort) report.EntryStatus {
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	client := admin.New(addr, bearer(r))
	status, err := client.Status(ctx, false)
	if err != nil || len(status.Entries) == 0 {
		return report.EntryStatus{Name: name, Zone: zone, IsUnreachable: true}
	}
	return status.Entries[0]
}

func bearer(r *http.Request) string {
	token, _ := bytes.CutPrefix([]byte(r.Header.Get("Authorization")), []byte("Bearer "))
	return string(token)
}

func (u *upstream) status() report.UpstreamStatus {
	c := u.conf.Load()
	s := report.UpstreamStatus{Name: c.Name, Target: c.Target, Zone: c.Zone, IsDraining: c.Drain, IsLinked: u.link.Load() != nil}
	s.VM = string(u.entry.fleet.Load().state(c.Name))
	if b := u.beat.Load(); b != nil {
		s.Revision = b.Config
		s.IsOutdated = s.Revision < u.entry.view.Load().revision
		s.Role, s.Version, s.Epoch, s.Plan = b.Role, b.Version, b.Epoch, b.Plan
		s.Running, s.Queued, s.Slots, s.IsLeaving = b.Running, b.Queued, b.Slots, b.Leaving
	}
	return s
}
