package conf

import (
	"fmt"
)

// The kinds of targets.
const (
	Model   = "model"   // Model engines, served by the chat API.
	Service = "service" // Plain services, served below /v1/services.
)

// Target is a model or a plain service that callers address by name.
type Target struct {
	Name          string   `json:"name"`
	Kind          string   `json:"kind"`
	Versions      []string `json:"versions,omitempty"`
	Version       string   `json:"version,omitempty"`
	NonRepeatable []string `json:"once,omitempty"` // HTTP methods whose requests must run at most once.
}

// IsNonRepeatable reports whether requests with the HTTP method must run at most once.
func (t *Target) IsNonRepeatable(method string) bool {
	for _, m := range t.NonRepeatable {
		if m == method {
			return true
		}
	}
	return false
}

func (c *checker) checkTargets(d *Document) {
	c.names = map[string]bool{}
	for i, t := range d.Targets {
		path := fmt.Sprintf("/targets/%d", i)
		c.checkUniqueName(path, t.Name)
		if t.Kind == Model {
			c.checkVersion(path, &t)
		}
		if t.Kind == Model && len(t.NonRepeatable) > 0 {
			c.addFault(path+"/once", "only a plain service may have non-repeatable methods")
		}
	}
}

func (c *checker) checkVersion(path string, t *Target) {
	for _, v := range t.Versions {
		if v == t.Version {
			return
		}
	}
	c.addFault(path+"/version", "%q is not among the versions", t.Version)
}
