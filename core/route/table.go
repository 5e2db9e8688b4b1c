package route

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"time"
)

// Kind tells how often a request may run.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // May run more than once.
	Unsafe Kind = "unsafe" // May run once at most.
	Stream Kind = "stream" // A stream of events; may run once at most unless it is resumable.
)

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route tells where the requests below a path go.
type Route struct {
	Name     string
	Host     string
	Prefix   string // Begins and ends with a slash.
	Kind     Kind
	Timeout  time.Duration // Longest time to an answer; 0 for none.
	Target   time.Duration // Latency that callers aim at, up to the first event of a stream.
	Gap      time.Duration // Longest pause between events of a stream that is in time.
	Priority int           // 0 is the most urgent.
	Backends []Backend
	Attempts int  // Upstreams that one request may be sent to.
	Resume   bool // A stream may go on at another upstream after its last event.
	Engine   bool // Requests carry prompts for a model.
}

// Repeatable reports whether the route's requests may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

const (
	// Callers leave a stream after the longest of these without an event.
	patienceLeast   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// Patience returns how long callers of a stream wait for an event before they leave.
func (r *Route) Patience() time.Duration {
	return max(patienceLeast, patienceTargets*r.Target, patienceGaps*r.Gap)
}

// Pick returns the service of one request, drawn by weight.
func (r *Route) Pick() string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	n := rand.IntN(total)
	for _, b := range r.Backends {
		if n < b.Weight {
			return b.Service
		}
		n -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Engine holds the stated figures of a service's model engines.
type Engine struct {
	Slots    int           // Requests that one engine runs at once.
	Capacity int           // Tokens that fit into one engine's KV cache.
	Bytes    int           // Size of the KV cache of one token.
	Link     float64       // Mbit/s between engines.
	Retain   time.Duration // How long an engine keeps a KV cache that is to be fetched.
	Switch   time.Duration // How long a change of role takes an engine away.
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name   string
	Conns  int     // Connections that one upstream accepts from all callers; 0 if not stated.
	Engine *Engine // Nil for plain services.
}

// Limits bounds what callers may send.
type Limits struct {
	Header  int           // Bytes of a request's head.
	Body    int64         // Bytes of a request's body.
	Reading time.Duration // Time in which a request's head must arrive.
	Idle    time.Duration // Time that a connection may stay idle.
}

// Table is one version of the configuration, indexed for lookups.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	hosts    map[string][]*Route // Longest prefix first.
	routes   []*Route
	urgent   map[string]int // Most urgent priority of the routes to each service.
}

// New returns the Table of a configuration.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, routes: routes,
		Services: make(map[string]*Service, len(services)), hosts: make(map[string][]*Route),
		urgent: make(map[string]int),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, b := range r.Backends {
			if p, ok := t.urgent[b.Service]; !ok || r.Priority < p {
				t.urgent[b.Service] = r.Priority
			}
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Routes returns all routes; callers must not change them.
func (t *Table) Routes() []*Route {
	return t.routes
}

// Urgent reports whether no route to the service is more urgent than r.
func (t *Table) Urgent(r *Route, service string) bool {
	return r.Priority <= t.urgent[service]
}

// Find returns the route with the longest prefix of path on the host, or nil.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := t.hosts[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			list = t.hosts[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
