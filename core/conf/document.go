package conf

import (
	"encoding/json"
)

// Document is the complete desired configuration.
type Document struct {
	Targets   []Target   `json:"targets"`
	Classes   []Class    `json:"classes"`
	Callers   []Caller   `json:"callers"`
	Upstreams []Upstream `json:"upstreams"`
}

// Parse decodes and validates a document; its error is a *Invalid that lists every fault.
func Parse(data []byte) (*Document, error) {
	faults := checkSchema(data)
	if len(faults) > 0 {
		return nil, &Invalid{Faults: faults}
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &Invalid{Faults: []string{"/: " + err.Error()}}
	}
	if faults := d.check(); len(faults) > 0 {
		return nil, &Invalid{Faults: faults}
	}
	return &d, nil
}

// check lists violations of the rules that the schema can't express.
func (d *Document) check() []string {
	var c checker
	c.checkTargets(d)
	c.checkClasses(d)
	c.checkCallers(d)
	c.checkUpstreams(d)
	return c.faults
}

// Target returns the target with the given name, or nil.
func (d *Document) Target(name string) *Target {
	for i := range d.Targets {
		if d.Targets[i].Name == name {
			return &d.Targets[i]
		}
	}
	return nil
}

// Class returns the class with the given name, or nil.
func (d *Document) Class(name string) *Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}
