package oper

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/core/conf"
)

type hashCommand struct {
	token string
}

func init() {
	register("hash", "Print the hash of a token for the configuration.", &hashCommand{})
}

func (c *hashCommand) define(clause *kingpin.CmdClause) {
	clause.Arg("token", "Token to hash.").Required().StringVar(&c.token)
}

func (c *hashCommand) run(context.Context, *Options) (Code, error) {
	fmt.Println(conf.HashToken(c.token))
	return OK, nil
}
