package plan

import (
	"encoding/json"
)

// Plan is the orders for one target; its epoch rises with each lead.
type Plan struct {
	Epoch    int64   `json:"epoch"`
	Revision int64   `json:"revision"`
	Lead     string  `json:"lead"`
	Orders   []Order `json:"orders"`
}

// Order is what one upstream shall be.
type Order struct {
	Upstream string `json:"upstream"`
	Addr     string `json:"addr,omitempty"` // Of the upstream, where its agent does not know its name.
	Role     string `json:"role"`
	Version  string `json:"version,omitempty"`
}

// BadPlan reports a document that is no plan.
type BadPlan struct {
	Cause error
}

// Error names the cause.
func (e *BadPlan) Error() string {
	return "plan: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BadPlan) Unwrap() error {
	return e.Cause
}

// Parse returns the plan in data, an empty one if data is empty; its error is a *BadPlan.
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

// Encode returns the JSON form of p.
func (p *Plan) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // no field of a Plan can fail to encode
	}
	return data
}

// Newer reports whether p was written after q.
func (p *Plan) Newer(q *Plan) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch > q.Epoch
	}
	return p.Revision > q.Revision
}

// Order returns the order for the named upstream and whether there is one.
func (p *Plan) Order(upstream string) (Order, bool) {
	for _, o := range p.Orders {
		if o.Upstream == upstream {
			return o, true
		}
	}
	return Order{}, false
}

// With returns a copy of p with the next revision and with o in place of the upstream's order.
func (p *Plan) With(o Order) *Plan {
	next := p.next()
	for i := range next.Orders {
		if next.Orders[i].Upstream == o.Upstream {
			next.Orders[i] = o
			return next
		}
	}
	next.Orders = append(next.Orders, o)
	return next
}

// Keep returns a copy of p with the orders of the named upstreams only.
func (p *Plan) Keep(upstreams map[string]bool) *Plan {
	kept := *p
	kept.Orders = nil
	for _, o := range p.Orders {
		if upstreams[o.Upstream] {
			kept.Orders = append(kept.Orders, o)
		}
	}
	return &kept
}

// Take returns a copy of p under a new epoch of the named lead.
func (p *Plan) Take(lead string) *Plan {
	next := p.next()
	next.Epoch++
	next.Lead = lead
	return next
}

func (p *Plan) next() *Plan {
	next := *p
	next.Revision++
	next.Orders = append([]Order(nil), p.Orders...)
	return &next
}
