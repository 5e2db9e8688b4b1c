package oper

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const (
	maxLine = 1 << 20 // bytes
	// contextWindow is the time before and after a request in which the lines about its upstreams are printed.
	contextWindow = 10 * time.Second
)

type traceCommand struct {
	request string
	files   []string
}

func init() {
	register("trace", "Print the log lines of all processes about a request and its upstreams.", &traceCommand{})
}

func (c *traceCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("request", "The request's id.").Required().StringVar(&c.request)
	clause.Arg("file", "Log files of any processes; the default is standard input.").StringsVar(&c.files)
}

func (c *traceCommand) run(_ context.Context, _ *Options) (Code, error) {
	if len(c.files) == 0 {
		return c.print(os.Stdin)
	}
	var readers []io.Reader
	for _, name := range c.files {
		f, err := os.Open(name)
		if err != nil {
			return Failure, err
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return c.print(io.MultiReader(readers...))
}

// logLine is one line of a process's log.
type logLine struct {
	time      time.Time
	text      string
	subject   string   // The id of the request or upstream that the line is about.
	upstreams []string // The ids of the upstreams that the line names.
}

func (c *traceCommand) print(r io.Reader) (Code, error) {
	lines, err := readLines(r)
	if err != nil {
		return Failure, err
	}
	found := selectLines(lines, c.request)
	if len(found) == 0 {
		fmt.Fprintln(os.Stderr, "pimentoseam: no log line mentions request", c.request)
		return Failure, nil
	}
	for _, l := range found {
		fmt.Println(l.text)
	}
	return OK, nil
}

// readLines returns the lines that contain a time, without any text before it.
func readLines(r io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []logLine
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "time=")
		if !ok {
			continue
		}
		l := logLine{text: "time=" + text}
		for field := range strings.FieldsSeq(l.text) {
			name, value, _ := strings.Cut(field, "=")
			switch name {
			case "time":
				if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
					l.time = at
				}
			case "id", "instance":
				l.subject = value
			case "upstream", "read", "make", "fetch":
				if value != "" && value != `""` {
					l.upstreams = append(l.upstreams, value)
				}
			}
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// selectLines returns the lines about a request and those about its upstreams within contextWindow of it, sorted by
// time.
func selectLines(lines []logLine, request string) []logLine {
	var first, last time.Time
	var upstreams []string
	for _, l := range lines {
		if l.subject != request {
			continue
		}
		if first.IsZero() || l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
		upstreams = append(upstreams, l.upstreams...)
	}
	var found []logLine
	for _, l := range lines {
		inWindow := !first.IsZero() && l.time.After(first.Add(-contextWindow)) && l.time.Before(last.Add(contextWindow))
		if l.subject == request || (inWindow && slices.Contains(upstreams, l.subject)) {
			found = append(found, l)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time.Before(found[j].time) })
	return found
}
