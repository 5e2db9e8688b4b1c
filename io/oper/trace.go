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
	maxLine = 1 << 20 // Bytes of one log line.
	// around is the time before and after a request in which lines about its upstreams are shown.
	around = 10 * time.Second
)

type traceCommand struct {
	request string
	files   []string
}

func init() {
	register("trace", "Print what the logs of all processes tell of a request and of its upstreams.", &traceCommand{})
}

func (c *traceCommand) define(clause *kingpin.CmdClause) {
	clause.Flag("request", "The request's id.").Required().StringVar(&c.request)
	clause.Arg("file", "Log files of any processes; standard input if there are none.").StringsVar(&c.files)
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
	time  time.Time
	text  string
	about string   // Id of the request or upstream that it is about.
	names []string // Upstreams that it names.
}

func (c *traceCommand) print(r io.Reader) (Code, error) {
	lines, err := readLines(r)
	if err != nil {
		return Failure, err
	}
	found := selectLines(lines, c.request)
	if len(found) == 0 {
		fmt.Fprintln(os.Stderr, "pimentoseam: no line tells of request", c.request)
		return Failure, nil
	}
	for _, l := range found {
		fmt.Println(l.text)
	}
	return OK, nil
}

// readLines returns the lines with a time; what stands before the time is dropped.
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
				l.about = value
			case "upstream", "read", "make", "fetch":
				if value != "" && value != `""` {
					l.names = append(l.names, value)
				}
			}
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// selectLines returns the lines about a request and, close to it, those about its upstreams, by time.
func selectLines(lines []logLine, request string) []logLine {
	var first, last time.Time
	var upstreams []string
	for _, l := range lines {
		if l.about != request {
			continue
		}
		if first.IsZero() || l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
		upstreams = append(upstreams, l.names...)
	}
	var found []logLine
	for _, l := range lines {
		near := !first.IsZero() && l.time.After(first.Add(-around)) && l.time.Before(last.Add(around))
		if l.about == request || (near && slices.Contains(upstreams, l.about)) {
			found = append(found, l)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time.Before(found[j].time) })
	return found
}
