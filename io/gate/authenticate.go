package gate

import (
	"net/http"
	"slices"
	"time"

	"pimentoseam/core/orgs"
	"pimentoseam/core/route"
	"pimentoseam/platform"
)

// refusedBodyTime limits how long net/http waits for the rest of a refused request's body after the response. It only has to
// cover a round trip, so that the caller reads the response before the connection is reset.
const refusedBodyTime = 500 * time.Millisecond

// unconfirmedPause is the time after which a caller may return if the configuration may be outdated. The store is tried about
// that often.
const unconfirmedPause = time.Second

// The reasons for which a request is refused with status 401, in log lines and the names of counters.
const (
	noKey       = "no key"
	severalKeys = "several keys"
	unknownKey  = "unknown key"
)

// noOrganisation stands for the organisation of requests that belong to none.
var noOrganisation orgs.Organisation

// authenticate returns the organisation of a request, one without a name if it has none, and removes the API key from the
// request. If it returns false, it has refused the request.
func (g *Gate) authenticate(w http.ResponseWriter, r *http.Request, config *activeConfig, rt *route.Route) (*orgs.Organisation, bool) {
	if !config.hadOrganisations {
		return &noOrganisation, true
	}
	// Callers may still send their keys when a version removes all organisations.
	keys, table := platform.TakeKeys(r.Header), config.table
	if table.Orgs == nil || rt.Public {
		return &noOrganisation, true
	}
	if s := g.settings(); s.StrictRevoke && !g.confirmedWithin(s.RevokeTime.Duration()) {
		g.meter.Count("unauthorized: configuration not confirmed")
		g.refuse(w, r, "configuration not confirmed", unconfirmedPause)
		return nil, false
	}
	reason, fingerprint := noKey, ""
	switch {
	case len(keys) > 1:
		reason = severalKeys
	case len(keys) == 1 && keys[0] != "":
		if o := table.Orgs.Find(keys[0]); o != nil {
			return o, true
		}
		reason, fingerprint = unknownKey, orgs.Fingerprint(keys[0])
	}
	g.meter.Count("unauthorized: " + reason)
	g.log.Info("unauthorized", "id", platform.AttemptID(r.Header), "host", r.Host, "route", rt.Name, "why", reason, "key", fingerprint, "version", table.Version)
	if r.ContentLength != 0 {
		// Without this, net/http reads up to 256 KiB of the body before it sends the response.
		w.Header().Set("Connection", "close")
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime)); err != nil {
			g.log.Error("read deadline not set", "id", platform.AttemptID(r.Header), "err", err)
		}
	}
	w.WriteHeader(http.StatusUnauthorized)
	return nil, false
}

// confirmedWithin reports whether the configuration in force is known to have been current within the last d: from the store, or
// from an entry that watches it and has no newer version.
func (g *Gate) confirmedWithin(d time.Duration) bool {
	if g.watchConfig.RespondedWithin(d) {
		return true
	}
	version := g.version()
	for _, p := range slices.Concat(g.gossip.Peers(), g.gossip.Zones()) {
		if p.Alive() && p.Beat.HasStoreWatch && p.Beat.ConfigVersion <= version && p.Age()+maxWatchSilence < d {
			return true
		}
	}
	return false
}
