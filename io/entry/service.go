package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"pimentoseam/core/conf"
	"pimentoseam/core/fault"
	"pimentoseam/core/head"
)

// servicePrefix begins the paths of calls to services; a service's name and the path for it follow.
const servicePrefix = "/v1/services/"

// servicePath returns the name of the service that a request calls and the path for it, both as they were sent. The upstream may
// decode them otherwise than net/http does.
func servicePath(r *http.Request) (name, path string, ok bool) {
	rest, ok := strings.CutPrefix(head.Path(r.RequestURI), servicePrefix)
	if !ok {
		return "", "", false
	}
	name, path, ok = strings.Cut(rest, "/")
	return name, "/" + path, ok
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	id := newID()
	w.Header().Set("X-Request-Id", id)
	if fail := e.service(w, r, id); fail != nil {
		e.refuse(w, fail, id)
	}
}

// unknownIfKeyed changes "not run" to "unknown" for a request with an idempotency key that was not yet sent to
// an owner of the key, because an earlier request with the same key may have run.
func unknownIfKeyed(r *http.Request, fail *fault.Error) *fault.Error {
	if fail.Kind == fault.NotRun && r.Header.Get("Idempotency-Key") != "" {
		fail.Kind = fault.Unknown
		fail.Status = http.StatusServiceUnavailable
	}
	return fail
}

// service serves one call to a service; it returns an error that was not yet sent to the caller.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, id string) *fault.Error {
	data, err := e.public.ReadBody(r)
	if err != nil {
		return asFault(err)
	}
	name, path, _ := servicePath(r)
	q, fail := e.newRequest(r, name, conf.Service)
	if fail != nil {
		return unknownIfKeyed(r, fail)
	}
	if !e.admit() {
		return unknownIfKeyed(r, fault.Retry("too many requests in progress", unavailableRetryAfter))
	}
	defer e.activeRequests.Add(-1)
	q.id = id
	q.run.Method, q.run.Type, q.run.Body = r.Method, r.Header.Get("Content-Type"), data
	q.run.Path = path
	if r.URL.RawQuery != "" {
		q.run.Path += "?" + r.URL.RawQuery
	}
	q.path = q.run.Path
	if q.target.IsNonRepeatable(r.Method) {
		return e.serviceOnce(w, r, q)
	}
	return e.respond(w, q, false)
}

// serviceOnce serves a call that must run at most once.
func (e *Entry) serviceOnce(w http.ResponseWriter, r *http.Request, q *request) *fault.Error {
	key, err := uuid.Parse(r.Header.Get("Idempotency-Key"))
	if err != nil || key.Version() != 7 {
		return invalidRequest("this call needs an Idempotency-Key that is a UUID of version 7")
	}
	if e.isOutdated() {
		return unknownIfKeyed(r, fault.Retry("the entry's configuration is out of date", unavailableRetryAfter))
	}
	q.run.NonRepeatable = true
	q.run.Key = q.caller.Name + "/" + key.String()
	q.run.Minted = time.Unix(key.Time().UnixTime())
	stream := e.public.Stream(w)
	defer stream.Close()
	q.ctx = stream.Context()
	out := &bufferSink{}
	defer out.drop()
	q.sink = out
	if fail := q.relayOnce(); fail != nil {
		return fail
	}
	if q.ctx.Err() == nil {
		out.send(w)
	}
	e.recordServed(q)
	return nil
}
