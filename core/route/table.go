package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"pimentoseam/core/orgs"
	"pimentoseam/core/scale"
)

// Kind states whether a route's requests may be repeated.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // May run more than once.
	Unsafe Kind = "unsafe" // May run once at most.
	Stream Kind = "stream" // An event stream; may run once at most unless it is resumable.
)

// Backend is a service and its weight among the backends of a route.
type Backend struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to backends, with the limits for its requests.
type Route struct {
	Name          string
	Host          string
	Prefix        string // The path prefix, which begins and ends with a slash.
	Kind          Kind
	Timeout       time.Duration // The maximum time until the answer; 0 if not set, so that the entry uses its default.
	TargetLatency time.Duration // The latency that callers aim for; until the first event for a stream.
	TargetGap     time.Duration // The longest pause between events of a stream that counts as on time.
	Priority      int           // 0 is the most urgent.
	Backends      []Backend
	MaxAttempts   int  // The number of upstreams that one request may be sent to.
	Resumable     bool // A stream may be continued at another upstream after its last event.
	HasPrompt     bool // Requests carry a prompt for a model.
	Public        bool // Requests need no API key.
}

// IsRepeatable reports whether the route's requests may be sent again after they may have run.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

const (
	// Callers disconnect from a stream that sends no event for the longest of minPatience and the times that the two
	// factors give.
	minPatience           = 2 * time.Second
	patienceLatencyFactor = 4 // in multiples of the target latency
	patienceGapFactor     = 8 // in multiples of the target gap
)

// Patience returns how long callers of a stream wait for an event before they disconnect.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceLatencyFactor*r.TargetLatency, patienceGapFactor*r.TargetGap)
}

// PickService returns the service for one request, chosen at random by weight.
func (r *Route) PickService() string {
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

// Engine holds the configured properties of the model engines of a service.
type Engine struct {
	Slots        int           // Requests that one engine runs at the same time.
	KVCapacity   int           // The KV cache of one engine in tokens.
	KVTokenBytes int           // The KV cache of one token in bytes.
	LinkMbps     float64       // Bandwidth between engines in Mbit/s.
	KVRetention  time.Duration // How long an engine keeps a KV cache for transfer to another engine.
	RoleChange   time.Duration // How long an engine is unavailable while it changes its role.
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string  // The path of health checks; empty if not configured.
	MaxConns   int     // The maximum number of connections to one upstream from all callers; 0 if not configured.
	Engine     *Engine // Nil for plain services.
	// Scaling limits the number of upstreams in each availability zone; nil if that isn't to be changed.
	Scaling *scale.Rules
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int           // The maximum size of a request's header.
	MaxBodyBytes   int64         // The maximum size of a request's body.
	HeaderTimeout  time.Duration // The time within which a request's header must arrive.
	IdleTimeout    time.Duration // The time that a connection may stay idle.
}

// Table is one version of the routing configuration, indexed for lookups.
type Table struct {
	Version     int64
	Limits      Limits
	Services    map[string]*Service
	Orgs        *orgs.Directory     // Nil if the configuration has no list of organisations.
	hosts       map[string][]*Route // The routes by host as normalHost returns it, the longest prefix first.
	routes      []*Route
	minPriority map[string]int // The lowest priority number of the routes to each service, the most urgent.
	minPublic   map[string]int // The same of the public routes only.
}

// New returns the Table for one version of the configuration.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, routes: routes,
		Services: make(map[string]*Service, len(services)), hosts: make(map[string][]*Route),
		minPriority: make(map[string]int), minPublic: make(map[string]int),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		for _, b := range r.Backends {
			if p, ok := t.minPriority[b.Service]; !ok || r.Priority < p {
				t.minPriority[b.Service] = r.Priority
			}
			if p, ok := t.minPublic[b.Service]; r.Public && (!ok || r.Priority < p) {
				t.minPublic[b.Service] = r.Priority
			}
		}
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Routes returns all routes; callers must not modify them.
func (t *Table) Routes() []*Route {
	return t.routes
}

// IsMostUrgent reports whether no request to the service has a more urgent priority, be it that of a route or of an
// organisation.
func (t *Table) IsMostUrgent(priority int, service string) bool {
	if t.Orgs == nil {
		return priority <= t.minPriority[service]
	}
	least := t.Orgs.MostUrgent(t.minPriority[service])
	if p, ok := t.minPublic[service]; ok {
		least = min(least, p)
	}
	return priority <= least
}

// Find returns the route of the host whose prefix is the longest that begins path, or nil. The host is compared in lower case,
// without a port and without one trailing dot. The path is compared byte by byte: it must be the one that is forwarded, as
// decoding it could yield the prefix of another service.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost returns a host in lower case without its port and one trailing dot. The colons of an IPv6 address are in brackets.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
