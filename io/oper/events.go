package oper

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

type eventsCommand struct {
	request string
	last    time.Duration
}

func init() {
	register("events", "Print the events of all processes in chronological order.", &eventsCommand{})
}

func (c *eventsCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("request", "Print only the events of the request with this id.").StringVar(&c.request)
	clause.Flag("last", "Print only the events of this last period, such as 5m; 0 prints all.").DurationVar(&c.last)
}

func (c *eventsCommand) run(ctx context.Context, o *Options) (Code, error) {
	client, err := o.client()
	if err != nil {
		return Failure, err
	}
	var since time.Time
	if c.last > 0 {
		since = time.Now().Add(-c.last)
	}
	events, err := client.Events(ctx, since, c.request)
	if err != nil {
		return Failure, err
	}
	if o.json {
		return OK, printJSON(events)
	}
	for _, e := range events {
		fmt.Printf("time=%s process=%s event=%s request=%s subject=%s detail=%q\n",
			e.Time.Format("15:04:05.000000"), e.Process, e.Name, e.Request, e.Subject, e.Detail)
	}
	return OK, nil
}
