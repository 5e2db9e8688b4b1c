package entry

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"pimentoseam/core/conf"
	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/core/fault"
	"pimentoseam/core/report"
	"pimentoseam/io/proc"
	"pimentoseam/io/server"
)

func (e *Entry) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	control := proc.NewControl(e.settings.Secret, e.events)
	control.Register(mux)
	mux.HandleFunc("GET /control/config", control.RequireSecret(e.serveConfigToPeer))
	mux.HandleFunc("GET /control/config/{key}", control.RequireSecret(e.serveConfigToPeer))
	mux.HandleFunc("GET /admin/config", e.requireOperator(e.showConfig))
	mux.HandleFunc("POST /admin/config", e.requireOperator(e.submitConfig))
	mux.HandleFunc("POST /admin/check", e.requireOperator(e.checkConfig))
	mux.HandleFunc("GET /admin/submissions/{id}", e.requireOperator(e.showSubmission))
	mux.HandleFunc("POST /admin/drain/{upstream}", e.requireOperator(e.drainUpstream))
	mux.HandleFunc("GET /admin/status", e.requireOperator(e.showStatus))
	mux.HandleFunc("GET /admin/held", e.requireOperator(e.showHeld))
	mux.HandleFunc("POST /admin/lift/{request}", e.requireOperator(e.liftHeld))
	mux.HandleFunc("GET /admin/events", e.requireOperator(e.showEvents))
	return mux
}

// requireOperator wraps a handler to require the operators' token.
func (e *Entry) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hash := conf.HashToken(bearer(r))
		if subtle.ConstantTimeCompare([]byte(hash), []byte(e.settings.TokenHash)) != 1 {
			server.WriteError(w, fault.New(fault.Denied, "the operators' token is required"), "")
			return
		}
		next(w, r)
	}
}

func (e *Entry) showConfig(w http.ResponseWriter, _ *http.Request) {
	v := e.view.Load()
	if v.revision == 0 {
		server.WriteJSON(w, http.StatusOK, &report.Config{})
		return
	}
	body, err := json.Marshal(v.doc)
	if err != nil {
		server.WriteError(w, fault.New(fault.Failed, err.Error()), "")
		return
	}
	server.WriteJSON(w, http.StatusOK, &report.Config{Revision: v.revision, Body: body})
}

// showHeld lists the requests that are held because they crash upstreams.
func (e *Entry) showHeld(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, crash.Describe(e.crashes.Holds()))
}

// liftHeld clears a request that is held.
func (e *Entry) liftHeld(w http.ResponseWriter, r *http.Request) {
	var d digest.Sum
	if err := d.UnmarshalText([]byte(r.PathValue("request"))); err != nil {
		server.WriteError(w, invalidRequest(err.Error()), "")
		return
	}
	if !e.crashes.Lift(d) {
		fail := invalidRequest("no request with this digest is held")
		fail.Status = http.StatusNotFound
		server.WriteError(w, fail, "")
		return
	}
	e.events.Add("lifted", "", "", d.String())
	e.log.Warn("hold lifted", "digest", d)
	server.WriteJSON(w, http.StatusOK, crash.Describe(e.crashes.Holds()))
}

// drainUpstream submits the current configuration with the upstream's drain flag changed.
func (e *Entry) drainUpstream(w http.ResponseWriter, r *http.Request) {
	v := e.view.Load()
	doc := *v.doc
	doc.Upstreams = append([]conf.Upstream(nil), v.doc.Upstreams...)
	found := false
	for i := range doc.Upstreams {
		if doc.Upstreams[i].Name == r.PathValue("upstream") {
			doc.Upstreams[i].Drain = r.URL.Query().Get("on") != "false"
			found = true
		}
	}
	if !found {
		fail := invalidRequest("there is no such upstream")
		fail.Status = http.StatusNotFound
		server.WriteError(w, fail, "")
		return
	}
	body, err := json.Marshal(&doc)
	if err != nil {
		server.WriteError(w, fault.New(fault.Failed, err.Error()), "")
		return
	}
	result := e.submit(r.Context(), body, v.revision, newID())
	server.WriteJSON(w, result.StatusCode(), result)
}
