package setup

// Change lists the settings that differ after a reload of the settings file in a running process.
type Change struct {
	Applied  []string // Names of settings that take effect immediately.
	Deferred []string // Names of settings that keep their old values until the next start, as they are in use.
}

// appendIf appends a setting's name to a list if it differs.
func appendIf(list *[]string, name string, differs bool) {
	if differs {
		*list = append(*list, name)
	}
}

// KeepFixed sets those settings of g that can't change in a running process to their values in old, and
// returns the settings that differed.
func (g *Gate) KeepFixed(old *Gate) *Change {
	c := &Change{}
	appendIf(&c.Deferred, "name", g.Name != old.Name)
	appendIf(&c.Deferred, "zone", g.Zone != old.Zone)
	appendIf(&c.Deferred, "listen", g.Listen != old.Listen)
	appendIf(&c.Deferred, "ready", g.Ready != old.Ready)
	appendIf(&c.Deferred, "share", g.Share != old.Share)
	appendIf(&c.Deferred, "peer", g.Peer != old.Peer)
	appendIf(&c.Deferred, "debug", g.Debug != old.Debug)
	appendIf(&c.Deferred, "first", g.FirstStart != old.FirstStart)
	appendIf(&c.Deferred, "window", g.RetryWindow != old.RetryWindow)
	appendIf(&c.Deferred, "memory", g.Memory != old.Memory)
	appendIf(&c.Deferred, "files", g.Files != old.Files)
	g.Memory, g.Files = old.Memory, old.Files
	g.Name, g.Zone, g.FirstStart, g.RetryWindow = old.Name, old.Zone, old.FirstStart, old.RetryWindow
	g.Listen, g.Ready, g.Share, g.Peer, g.Debug = old.Listen, old.Ready, old.Share, old.Peer, old.Debug
	// The state of the duties depends on these from the start, and a change in one entry before another would give two rules.
	appendIf(&c.Deferred, "cloud", g.Cloud != old.Cloud)
	appendIf(&c.Deferred, "duties", g.Duties != old.Duties)
	appendIf(&c.Deferred, "dutyrate", g.DutyRate != old.DutyRate)
	appendIf(&c.Deferred, "report", g.ReportWindow != old.ReportWindow)
	appendIf(&c.Deferred, "late", g.UsageLate != old.UsageLate)
	appendIf(&c.Deferred, "fenced", g.Fenced != old.Fenced)
	appendIf(&c.Deferred, "thaw", g.ThawSlack != old.ThawSlack)
	g.Cloud, g.Duties, g.DutyRate = old.Cloud, old.Duties, old.DutyRate
	g.ReportWindow, g.UsageLate, g.Fenced, g.ThawSlack = old.ReportWindow, old.UsageLate, old.Fenced, old.ThawSlack
	appendIf(&c.Applied, "store", g.Store != old.Store)
	appendIf(&c.Applied, "seeds", g.Seeds != old.Seeds)
	appendIf(&c.Applied, "grace", g.GracePeriod != old.GracePeriod)
	appendIf(&c.Applied, "drain", g.DrainTime != old.DrainTime)
	appendIf(&c.Applied, "apply", g.ApplyTime != old.ApplyTime)
	appendIf(&c.Applied, "lease", g.LeaseTime != old.LeaseTime)
	appendIf(&c.Applied, "revoke", g.RevokeTime != old.RevokeTime)
	appendIf(&c.Applied, "strict", g.StrictRevoke != old.StrictRevoke)
	appendIf(&c.Applied, "ratio", g.RetryRatio != old.RetryRatio)
	appendIf(&c.Applied, "slack", g.RetrySlack != old.RetrySlack)
	return c
}

// KeepFixed sets those settings of t that can't change in a running process to their values in old, and
// returns the settings that differed.
func (t *Tend) KeepFixed(old *Tend) *Change {
	c := &Change{}
	appendIf(&c.Deferred, "name", t.Name != old.Name)
	appendIf(&c.Deferred, "engine", t.Engine != old.Engine)
	appendIf(&c.Deferred, "service", t.Service != old.Service)
	appendIf(&c.Deferred, "peer", t.Peer != old.Peer)
	appendIf(&c.Deferred, "debug", t.Debug != old.Debug)
	appendIf(&c.Deferred, "memory", t.Memory != old.Memory)
	appendIf(&c.Deferred, "files", t.Files != old.Files)
	t.Memory, t.Files = old.Memory, old.Files
	t.Name, t.Engine, t.Service, t.Peer, t.Debug = old.Name, old.Engine, old.Service, old.Peer, old.Debug
	appendIf(&c.Applied, "store", t.Store != old.Store)
	return c
}
