package gate

import (
	"context"
	"net/http"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/core/tenure"
	"pimentoseam/io/client"
	"pimentoseam/io/clock"
	"pimentoseam/io/duty"
	"pimentoseam/io/gossip"
	"pimentoseam/io/tally"
	"pimentoseam/platform"
)

// handOverTime limits the hand-over of the counts when the entry stops.
const handOverTime = 1500 * time.Millisecond

// duties is this entry's part in the duties: its counts, and the calls while it holds the lease.
type duties struct {
	clock  *clock.Clock
	tally  *tally.Tally // Nil if no usage is to be reported.
	runner *duty.Runner
}

// newDuties returns the duties that the settings ask for; nil if there are none.
func newDuties(g *Gate) *duties {
	s := g.settings()
	length := s.ReportWindow.Duration()
	hasUsage, hasScale := s.HasDuty(setup.UsageReport) && length > 0, s.HasDuty(setup.Autoscale)
	if !hasUsage && !hasScale {
		return nil
	}
	if !hasUsage {
		length = time.Second // There are no windows, but their length must not be 0.
	}
	d := &duties{clock: clock.New()}
	c := duty.Config{
		Name: s.Name, LeadKey: leaderKey, Length: length, Late: s.UsageLate.Duration(), CallRate: s.DutyRate,
		Rules: tenure.Rules{
			Fenced: s.Fenced, LeaseTime: s.LeaseTime.Duration(), LeaseTTL: leaseTTL, CallTimeout: duty.CallTimeout,
			Margin: s.ThawSlack.Duration(),
		},
		Store: g.store, Cloud: platform.NewCloud(s.Cloud), Clock: d.clock, Log: g.log, Meter: g.meter,
	}
	if hasUsage {
		d.tally = tally.New(s.Name, s.Zone, g.started, s.Share, length, d.clock, dutySource{g}, g.log)
		c.Collect = d.tally.Collect
	}
	if hasScale {
		c.Demands = g.demands
	}
	d.runner = duty.New(c)
	return d
}

// now returns the time on the clock that goes on while the VM is suspended; 0 without duties.
func (d *duties) now() time.Duration {
	if d == nil {
		return 0
	}
	return d.clock.Now()
}

// gain records that this entry has gained the lease, which a call that began at a time granted for ttl.
func (d *duties) gain(token, era int64, began, ttl time.Duration) {
	if d != nil {
		d.runner.Gain(token, era, began+ttl)
	}
}

// renew records that a call that began at a time has renewed the lease for ttl.
func (d *duties) renew(began, ttl time.Duration) {
	if d != nil {
		d.runner.Renew(began + ttl)
	}
}

// lose records that the lease was lost.
func (d *duties) lose() {
	if d != nil {
		d.runner.Lose()
	}
}

// awaitEnd waits until no call is under way, once the context of the process has ended.
func (d *duties) awaitEnd() {
	if d != nil {
		d.runner.AwaitEnd()
	}
}

// needsToken reports whether the provider refuses the present token.
func (d *duties) needsToken() bool {
	return d != nil && d.runner.NeedsToken()
}

// run carries out the duties until ctx ends, and copies the counts until workCtx ends.
func (d *duties) run(ctx, workCtx context.Context) {
	if d == nil {
		return
	}
	if d.tally != nil {
		go d.tally.Run(workCtx)
	}
	go d.runner.Run(ctx)
}

// register adds the calls of other entries to mux.
func (d *duties) register(mux *http.ServeMux) {
	if d != nil && d.tally != nil {
		d.tally.Register(mux)
	}
}

// handOver sends the counts to another entry, before this one exits.
func (d *duties) handOver() {
	if d == nil || d.tally == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	d.tally.HandOver(ctx)
}

// countBegun counts the request for its organisation, the first time that it begins to run. An engine begins with the first
// event, a plain upstream with the head of its response.
func (x *exchange) countBegun(resp *client.Response) {
	if x.begun || x.organisation == "" || x.gate.duties == nil || x.gate.duties.tally == nil {
		return
	}
	isError, hasEngine := resp.StatusCode >= http.StatusBadRequest, x.hasEngine()
	hasSeal := platform.ReadReply(resp.StatusCode, resp.Header).HasSeal
	isOwn := hasSeal || (isError && !impliesNotRun(resp.StatusCode)) // Errors of upstreams need no seal.
	if isOwn && !(isError && hasEngine) {
		x.begun = true
		x.gate.duties.tally.Count(x.organisation)
	}
}

// hasEngine reports whether the request goes to a model engine.
func (x *exchange) hasEngine() bool {
	service := x.table.Services[x.service]
	return service != nil && service.Engine != nil
}

// dutySource tells the duties about the entries.
type dutySource struct {
	*Gate
}

// Peers returns the entries of the zone that were ever heard, and one of each other zone.
func (g dutySource) Peers() []tally.Peer {
	var list []tally.Peer
	zone := g.settings().Zone
	add := func(p gossip.Peer) {
		if p.Beat != nil && (p.Beat.Zone != zone || !p.Beat.Digest) {
			list = append(list, tally.Peer{Name: p.Beat.Name, Zone: p.Beat.Zone, ShareAddr: p.Beat.ShareAddr, Alive: p.Alive(), Age: p.Age()})
		}
	}
	for _, p := range g.gossip.Peers() {
		add(p)
	}
	for _, p := range g.gossip.Zones() {
		add(p)
	}
	return list
}

// IsStopping reports whether the entry is about to exit.
func (g dutySource) IsStopping() bool {
	return g.stop.isStopping()
}
