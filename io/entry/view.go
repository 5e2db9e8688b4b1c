package entry

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"pimentoseam/core/conf"
	"pimentoseam/core/fault"
)

// view is one revision of the configuration, never changed once published.
type view struct {
	revision       int64
	doc            *conf.Document
	encodedHead    []byte                  // the head as stored
	parts          map[string][]byte       // of the parts, by key
	callers        map[string]*conf.Caller // by token hash
	targets        map[string][]*upstream  // by target name
	previousOwners map[string][]ownership  // former ones by target name, the oldest first
}

func emptyView() *view {
	return &view{doc: &conf.Document{}}
}

// caller returns the caller whose token the request bears, or a Denied error.
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

// target returns the named target if the caller may address it.
func (v *view) target(c *conf.Caller, name, kind string) (*conf.Target, *fault.Error) {
	t := v.doc.Target(name)
	if t == nil || t.Kind != kind || !c.Allows(name) {
		missing := fault.New(fault.Invalid, "there is no "+kind+" "+name+" for this caller")
		missing.Status = http.StatusNotFound
		return nil, missing
	}
	return t, nil
}
