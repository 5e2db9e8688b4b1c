package oper

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

type showCommand struct {
	submission string
}

func init() {
	register("show", "Print the current configuration or the result of a submission.", &showCommand{})
}

func (c *showCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("submission", "Print the result of the submission with this id.").StringVar(&c.submission)
}

func (c *showCommand) run(ctx context.Context, o *Options) (Code, error) {
	client, err := o.client()
	if err != nil {
		return Failure, err
	}
	if c.submission != "" {
		result, err := client.Submission(ctx, c.submission)
		if err != nil {
			return Failure, err
		}
		return printResult(o, result)
	}
	config, err := client.Config(ctx)
	if err != nil {
		return Failure, err
	}
	if o.json {
		return OK, printJSON(config)
	}
	fmt.Printf("revision %d\n", config.Revision)
	if config.Revision == 0 {
		return OK, nil
	}
	return OK, printJSON(config.Body)
}
