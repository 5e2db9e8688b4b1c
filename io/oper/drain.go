package oper

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

type drainCommand struct {
	upstream string
	off      bool
}

func init() {
	register("drain", "Stop or resume sending requests to an upstream.", &drainCommand{})
}

func (c *drainCommand) define(clause *kingpin.CmdClause) {
	clause.Arg("upstream", "Name of the upstream.").Required().StringVar(&c.upstream)
	clause.Flag("off", "End the drain.").BoolVar(&c.off)
}

func (c *drainCommand) run(ctx context.Context, o *Options) (Code, error) {
	client, err := o.client()
	if err != nil {
		return Failure, err
	}
	result, err := client.Drain(ctx, c.upstream, !c.off)
	if err != nil {
		return Failure, err
	}
	return printResult(o, result)
}
