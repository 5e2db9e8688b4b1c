package oper

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"pimentoseam/core/conf"
	"pimentoseam/core/setup"
	"pimentoseam/platform"
)

type checkCommand struct {
	file   string
	kind   string
	schema bool
}

func init() {
	register("check", "List the faults of a configuration document or a settings file.", &checkCommand{})
}

func (c *checkCommand) define(clause *kingpin.CmdClause) {
	clause.Arg("file", "File to check.").StringVar(&c.file)
	clause.Flag("kind", "Kind of the file: config, entry, agent, gate, tend or platform (the operator's configuration on the platform).").
		Default("config").EnumVar(&c.kind, "config", "entry", "agent", "gate", "tend", "platform")
	clause.Flag("schema", "Print the JSON Schema of the configuration document instead.").BoolVar(&c.schema)
}

func (c *checkCommand) run(_ context.Context, o *Options) (Code, error) {
	if c.schema {
		_, err := os.Stdout.Write(conf.Schema)
		return OK, err
	}
	faults, err := c.faults()
	if err != nil {
		return Failure, err
	}
	code := OK
	if len(faults) > 0 {
		code = Invalid
	}
	if o.json {
		return code, printJSON(faults)
	}
	for _, f := range faults {
		fmt.Println(f)
	}
	if len(faults) == 0 {
		fmt.Println("ok")
	}
	return code, nil
}

func (c *checkCommand) faults() ([]string, error) {
	switch c.kind {
	case "entry":
		_, err := setup.ReadEntry(c.file)
		return settingsFaults(err), nil
	case "agent":
		_, err := setup.ReadAgent(c.file)
		return settingsFaults(err), nil
	case "gate":
		_, err := setup.ReadGate(c.file)
		return settingsFaults(err), nil
	case "tend":
		_, err := setup.ReadTend(c.file)
		return settingsFaults(err), nil
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, eris.Wrap(err, "check")
	}
	if c.kind == "platform" {
		if _, err := platform.ReadConfig(data); err != nil {
			return []string{err.Error()}, nil
		}
		return nil, nil
	}
	_, err = conf.Parse(data)
	var bad *conf.Invalid
	if eris.As(err, &bad) {
		return bad.Faults, nil
	}
	return nil, err
}

func settingsFaults(err error) []string {
	var bad *setup.Invalid
	if eris.As(err, &bad) {
		return bad.Faults
	}
	return nil
}
