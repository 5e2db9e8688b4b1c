package oper

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/core/report"
)

type statusCommand struct{}

func init() {
	register("status", "List the processes with their configuration revisions, roles and queues.", &statusCommand{})
}

func (c *statusCommand) define(*kingpin.CmdClause) {}

func (c *statusCommand) run(ctx context.Context, o *Options) (Code, error) {
	client, err := o.client()
	if err != nil {
		return Failure, err
	}
	status, err := client.Status(ctx, true)
	if err != nil {
		return Failure, err
	}
	if o.json {
		return OK, printJSON(status)
	}
	return OK, printStatus(status)
}

func printStatus(s *report.Status) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tZONE\tREVISION\tLEAD\tRUNNING\tSTATE")
	for _, e := range s.Entries {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%d\t%s\n", e.Name, e.Zone, e.Revision, e.IsLeader, e.Running, entryState(&e))
	}
	fmt.Fprintln(w, "UPSTREAM\tTARGET\tZONE\tREVISION\tROLE\tVERSION\tPLAN\tRUNNING\tQUEUED\tSTATE")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d.%d\t%d/%d\t%d\t%s\n",
			u.Name, u.Target, u.Zone, u.Revision, u.Role, u.Version, u.Epoch, u.Plan, u.Running, u.Slots, u.Queued, upstreamState(&u))
	}
	return w.Flush()
}

func entryState(e *report.EntryStatus) string {
	switch {
	case e.IsUnreachable:
		return "unreachable"
	case e.IsLeaving:
		return "leaving"
	case e.IsOutdated:
		return "lags"
	}
	return "ok"
}

func upstreamState(u *report.UpstreamStatus) string {
	switch {
	case !u.IsLinked:
		return "unreachable"
	case u.IsDraining:
		return "draining"
	case u.IsLeaving || u.VM != "live":
		return "leaving"
	case u.IsOutdated:
		return "lags"
	}
	return "ok"
}
