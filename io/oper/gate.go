package oper

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/core/setup"
	"pimentoseam/io/gate"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

type gateCommand struct {
	file string
}

func init() {
	register("gate", "Run an entry on the operations platform.", &gateCommand{})
}

func (c *gateCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("settings", "Settings file.").Default(platform.SettingsFile()).StringVar(&c.file)
}

func (c *gateCommand) run(ctx context.Context, _ *Options) (Code, error) {
	file := proc.WatchSettings(c.file)
	settings, err := setup.ReadGate(c.file)
	if err != nil {
		return Invalid, err
	}
	if err := gate.New(settings, gate.WithFile(file)).Run(ctx); err != nil {
		return Failure, err
	}
	return OK, nil
}
