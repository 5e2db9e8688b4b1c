package oper

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

type submitCommand struct {
	file     string
	revision int64
	id       string
}

func init() {
	register("submit", "Replace a revision of the configuration by a document.", &submitCommand{})
}

func (c *submitCommand) define(clause *kingpin.CmdClause) {
	clause.Arg("file", "Document to submit.").Required().StringVar(&c.file)
	clause.Flag("revision", "Revision to replace; 0 if there is none.").Required().Int64Var(&c.revision)
	clause.Flag("id", "Submission id, which show takes to print the result.").StringVar(&c.id)
}

func (c *submitCommand) run(ctx context.Context, o *Options) (Code, error) {
	client, err := o.client()
	if err != nil {
		return Failure, err
	}
	body, err := os.ReadFile(c.file)
	if err != nil {
		return Failure, eris.Wrap(err, "submit")
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	result, err := client.Submit(ctx, body, c.revision, c.id)
	if err != nil {
		// Each error is reported as an unknown outcome, even if the entry rejected the call and nothing changed.
		return Unknown, eris.Wrapf(err, "submission %s has an unknown outcome", c.id)
	}
	return printResult(o, result)
}
