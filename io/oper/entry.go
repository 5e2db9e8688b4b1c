package oper

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/core/setup"
	"pimentoseam/io/entry"
)

type entryCommand struct {
	file string
}

func init() {
	register("entry", "Run an entry, which relays the requests of callers to agents.", &entryCommand{})
}

func (c *entryCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("settings", "Settings file.").Required().StringVar(&c.file)
}

func (c *entryCommand) run(ctx context.Context, _ *Options) (Code, error) {
	settings, err := setup.ReadEntry(c.file)
	if err != nil {
		return Invalid, err
	}
	if err := entry.New(settings).Run(ctx); err != nil {
		return Failure, err
	}
	return OK, nil
}
