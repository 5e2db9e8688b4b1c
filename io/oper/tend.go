package oper

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/core/setup"
	"pimentoseam/io/proc"
	"pimentoseam/io/tend"
	"pimentoseam/platform"
)

type tendCommand struct {
	file string
}

func init() {
	register("tend", "Run the agent of a model engine on the operations platform.", &tendCommand{})
}

func (c *tendCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("settings", "Settings file.").Default(platform.SettingsFile()).StringVar(&c.file)
}

func (c *tendCommand) run(ctx context.Context, _ *Options) (Code, error) {
	file := proc.WatchSettings(c.file)
	settings, err := setup.ReadTend(c.file)
	if err != nil {
		return Invalid, err
	}
	if err := tend.New(settings, tend.WithFile(file)).Run(ctx); err != nil {
		return Failure, err
	}
	return OK, nil
}
