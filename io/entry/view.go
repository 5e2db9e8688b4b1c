package entry

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"pimentoseam/core/conf"
	"pimentoseam/core/fault"
)

// view is one revision of the configuration with its indexes. It is immutable once published.
type view struct {
	revision       int64
	doc            *conf.Document
	encodedHead    []byte                  // The head as it is stored.
	parts          map[string][]byte       // The encoded parts by key.
	callers        map[string]*conf.Caller // By token hash.
	targets        map[string][]*upstream  // By target name.
	previousOwners map[string][]ownership  // By target name, the oldest first.
}

func emptyView() *view {
	return &view{doc: &conf.Document{}}
}

// caller returns the caller that the request's bearer token identifies, or a Denied error.
func (v *view) caller(r *http.Request) (*conf.Caller, *fault.Error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, fault.New(fault.Denied, "a bearer token is required")
	}
	hash := conf.HashToken(token)
	found, ok := v.callers[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(found.TokenHash), []byte(hash)) != 1 {
		return nil, fault.New(fault.Denied, "the token is not known")
	}
	return found, nil
}

// target returns the named target if the caller may use it.
func (v *view) target(c *conf.Caller, name, kind string) (*conf.Target, *fault.Error) {
	t := v.doc.Target(name)
	if t == nil || t.Kind != kind || !c.Allows(name) {
		fail := fault.New(fault.Invalid, "there is no "+kind+" "+name+" for this caller")
		fail.Status = http.StatusNotFound
		return nil, fail
	}
	return t, nil
}
