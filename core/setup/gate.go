package setup

import (
	_ "embed"
	"net/netip"
	"slices"
	"strings"

	"pimentoseam/core/span"
)

// Gate holds the settings of an entry on the operations platform.
type Gate struct {
	Name       string         `json:"name"`
	Zone       string         `json:"zone"`
	Listen     netip.AddrPort `json:"listen"` // The address for callers.
	Ready      netip.AddrPort `json:"ready"`  // The address for the load balancer's readiness probes.
	Share      netip.AddrPort `json:"share"`  // The TCP address at which other entries fetch the configuration and the upstream list.
	Peer       netip.AddrPort `json:"peer"`   // The UDP address for the gossip of other entries.
	Debug      netip.AddrPort `json:"debug"`  // The address that serves metrics.
	Store      netip.AddrPort `json:"store"`
	Memory     int64          `json:"memory"`         // The memory of the VM in MiB, which the platform enforces; 0 for no bound.
	Files      int64          `json:"files"`          // The file descriptors that the process may have open; 0 for no bound.
	Seeds      string         `json:"seeds"`          // Share addresses of some entries, separated by commas; may be outdated.
	FirstStart bool           `json:"first"`          // The whole system starts for the first time.
	Cloud      netip.AddrPort `json:"cloud,omitzero"` // The address of the provider's interface for duties; not valid if there are none.
	// Duties names the duties of the entry that holds the leader's lease, separated by commas; see Gate.HasDuty.
	Duties   string  `json:"duties"`
	DutyRate float64 `json:"dutyrate"` // The calls per second that the provider accepts from all entries together.
	Bounds
}

// Bounds holds the platform's requirements on timing and retries.
type Bounds struct {
	GracePeriod span.Span `json:"grace"`  // The time from SIGTERM to SIGKILL.
	DrainTime   span.Span `json:"drain"`  // The time within which a leaving upstream must stop getting new work.
	ApplyTime   span.Span `json:"apply"`  // The time within which a configuration must be in force.
	LeaseTime   span.Span `json:"lease"`  // The time during which an engine must not get commands from two holders of its lease. Only its changes are reported.
	RevokeTime  span.Span `json:"revoke"` // The time within which a removed API key must be refused if StrictRevoke is set.
	RetryRatio  float64   `json:"ratio"`  // The number of retries to a service allowed for each first attempt.
	RetrySlack  float64   `json:"slack"`  // The number of retries to a service that all entries together may make in a window in addition to the ratio.
	RetryWindow span.Span `json:"window"` // The time window for the ratio and the slack.
	// StrictRevoke makes an entry refuse requests with API keys while it can't confirm that its configuration is current.
	StrictRevoke bool `json:"strict"`

	ReportWindow span.Span `json:"report"` // The length of a window of usage reports.
	UsageLate    span.Span `json:"late"`   // The time after the end of a window within which its report is due.
	Fenced       bool      `json:"fenced"` // The provider refuses calls whose fencing token is lower than one that it has seen.
	ThawSlack    span.Span `json:"thaw"`   // The time after the end of a pause of the process in which its calls don't count.
}

// Duty names a task that only the entry with the leader's lease carries out.
type Duty string

// The known duties.
const (
	UsageReport Duty = "usage_report" // Reports the requests of each organisation.
	Autoscale   Duty = "autoscale"    // Sets the number of upstreams.
)

// HasDuty reports whether the settings ask for a duty. Unknown names are ignored, so that a later platform may add some.
func (g *Gate) HasDuty(d Duty) bool {
	return g.Cloud.IsValid() && slices.Contains(strings.Split(g.Duties, ","), string(d))
}

func (*Gate) settings() {}

//go:embed gate.json
var gateSchema []byte

// ReadGate reads and validates a settings file, with defaults for missing bounds; its error is a *Invalid
// that lists every fault.
func ReadGate(path string) (*Gate, error) {
	g := Gate{Bounds: defaultBounds}
	if err := read(path, gateSchema, &g); err != nil {
		return nil, err
	}
	return &g, nil
}
