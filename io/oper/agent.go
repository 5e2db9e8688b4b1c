package oper

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/core/setup"
	"pimentoseam/io/agent"
)

type agentCommand struct {
	file string
}

func init() {
	register("agent", "Run the agent of an upstream.", &agentCommand{})
}

func (c *agentCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("settings", "Settings file.").Required().StringVar(&c.file)
}

func (c *agentCommand) run(ctx context.Context, _ *Options) (Code, error) {
	settings, err := setup.ReadAgent(c.file)
	if err != nil {
		return Invalid, err
	}
	if err := agent.New(settings).Run(ctx); err != nil {
		return Failure, err
	}
	return OK, nil
}
