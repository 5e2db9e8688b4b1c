package plan

import (
	"encoding/json"
)

// Plan holds the commands for the upstreams of one service, which the configuration of io/entry calls a target. Its
// epoch increases with each new leader.
type Plan struct {
	Epoch    int64     `json:"epoch"`
	Revision int64     `json:"revision"`
	Era      int64     `json:"era,omitempty"` // The store's era in which the plan was written.
	Leader   string    `json:"lead"`
	Commands []Command `json:"orders"`
}

// Command states the role and the version that one upstream must take.
type Command struct {
	Upstream string `json:"upstream"`
	Addr     string `json:"addr,omitempty"` // The upstream's address, for agents that don't know the upstream's id.
	Role     string `json:"role"`
	Version  string `json:"version,omitempty"` // The version of the service that the upstream must run.
}

// BadPlan reports a document that can't be decoded as a Plan.
type BadPlan struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadPlan) Error() string {
	return "plan: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *BadPlan) Unwrap() error {
	return e.Cause
}

// Parse decodes a stored plan; empty data gives an empty plan. Its error is a *BadPlan.
func Parse(data []byte) (*Plan, error) {
	var p Plan
	if len(data) == 0 {
		return &p, nil
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, &BadPlan{Cause: err}
	}
	return &p, nil
}

// Encode returns the JSON encoding of p.
func (p *Plan) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // no field of a Plan can fail to encode
	}
	return data
}

// Newer reports whether p supersedes q: by its epoch, or by its revision within an epoch.
func (p *Plan) Newer(q *Plan) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch > q.Epoch
	}
	return p.Revision > q.Revision
}

// Command returns the command for the named upstream and whether there is one.
func (p *Plan) Command(upstream string) (Command, bool) {
	for _, c := range p.Commands {
		if c.Upstream == upstream {
			return c, true
		}
	}
	return Command{}, false
}

// WithCommand returns the next revision of p, in which c replaces any command for the same upstream.
func (p *Plan) WithCommand(c Command) *Plan {
	next := p.nextRevision()
	for i := range next.Commands {
		if next.Commands[i].Upstream == c.Upstream {
			next.Commands[i] = c
			return next
		}
	}
	next.Commands = append(next.Commands, c)
	return next
}

// OnlyFor returns a copy of p with only the commands for the named upstreams.
func (p *Plan) OnlyFor(upstreams map[string]bool) *Plan {
	filtered := *p
	filtered.Commands = nil
	for _, c := range p.Commands {
		if upstreams[c.Upstream] {
			filtered.Commands = append(filtered.Commands, c)
		}
	}
	return &filtered
}

// NextEpoch returns the next revision of p in a new epoch under the named leader.
func (p *Plan) NextEpoch(leader string) *Plan {
	next := p.nextRevision()
	next.Epoch++
	next.Leader = leader
	return next
}

// InEra returns p as a leader takes it over in an era of the store. A plan of an earlier era is an older copy, whose
// commands may have been replaced since: only those that fit the present roles by upstream are kept.
func (p *Plan) InEra(era int64, roles map[string]string) *Plan {
	next := *p
	next.Era, next.Commands = era, nil
	for _, c := range p.Commands {
		if p.Era == era || roles[c.Upstream] == c.Role {
			next.Commands = append(next.Commands, c)
		}
	}
	return &next
}

// nextRevision returns a copy of p with its own slice of commands and the revision increased.
func (p *Plan) nextRevision() *Plan {
	next := *p
	next.Revision++
	next.Commands = append([]Command(nil), p.Commands...)
	return &next
}
