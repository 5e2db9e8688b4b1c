package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"pimentoseam/core/report"
	"pimentoseam/io/admin"
)

// Code is a process exit code.
type Code int

// The exit codes of all commands.
const (
	OK          Code = 0
	Failure     Code = 1 // Any other error, such as invalid arguments, an unreadable file or a failed call.
	Invalid     Code = 2 // A document or a settings file has faults.
	Conflict    Code = 3 // The current revision is not the one to replace.
	Unknown     Code = 4 // The outcome of a submission is unknown, or its call failed or was rejected.
	Unavailable Code = 5 // Nothing was written; see report.Unavailable.
)

// Options are the flags that all commands share.
type Options struct {
	admin string
	token string
	json  bool
}

// command is a subcommand of the program.
type command interface {
	// define adds the command's arguments and flags to clause.
	define(clause *kingpin.CmdClause)
	// run executes the command and returns the process exit code.
	run(ctx context.Context, o *Options) (Code, error)
}

type registration struct {
	name string
	help string
	cmd  command
}

var registrations []registration

// register adds a subcommand; it is called from init functions.
func register(name, help string, cmd command) {
	registrations = append(registrations, registration{name: name, help: help, cmd: cmd})
}

// Run parses the arguments and executes the subcommand that they name.
func Run(ctx context.Context, args []string) Code {
	app := kingpin.New("pimentoseam", "Serves model engines and plain services to callers.")
	o := &Options{}
	app.Flag("admin", "Address of an entry's administration interface.").Envar("PIMENTOSEAM_ADMIN").Default("127.0.0.1:7415").StringVar(&o.admin)
	app.Flag("token", "The operators' token.").Envar("PIMENTOSEAM_TOKEN").StringVar(&o.token)
	app.Flag("json", "Print JSON.").BoolVar(&o.json)
	byName := make(map[string]command)
	for _, r := range registrations {
		r.cmd.define(app.Command(r.name, r.help))
		byName[r.name] = r.cmd
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentoseam:", err)
		return Failure
	}
	code, err := byName[name].run(ctx, o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pimentoseam:", eris.ToString(err, false))
	}
	return code
}

// client returns a client of the entry that the flags name.
func (o *Options) client() (*admin.Client, error) {
	addr, err := netip.ParseAddrPort(o.admin)
	if err != nil {
		return nil, eris.Wrap(err, "--admin")
	}
	return admin.New(addr, o.token), nil
}

// printJSON writes v as indented JSON to standard output.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printResult prints the result of a submission and returns its exit code.
func printResult(o *Options, r *report.Result) (Code, error) {
	code := exitCode(r.Outcome)
	if o.json {
		return code, printJSON(r)
	}
	fmt.Printf("%s revision=%d id=%s\n", r.Outcome, r.Revision, r.ID)
	for _, f := range r.Faults {
		fmt.Println(f)
	}
	return code, nil
}

func exitCode(o report.Outcome) Code {
	switch o {
	case report.Accepted:
		return OK
	case report.Conflict:
		return Conflict
	case report.Invalid:
		return Invalid
	case report.Unknown:
		return Unknown
	}
	return Unavailable
}
