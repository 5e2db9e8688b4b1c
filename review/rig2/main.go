//go:build review

// Command rig2 plays the cases of the second review against the programs of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	cases := map[string]func(*rig) (int, error){
		"leave":   playLeave,
		"lapse":   playLapse,
		"encoded": playEncoded,
	}
	if len(os.Args) >= 2 && os.Args[1] == "replica" {
		if err := runReplica(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE DIR | rig2 replica FLAGS")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}

// play plays a case, whose record goes into a directory, and returns the exit code.
func play(dir string, run func(*rig) (int, error)) int {
	r, err := newRig(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		r.close()
		os.Exit(notRun)
	}()
	code, err := run(r)
	if err != nil {
		r.note("not run: %v", err)
		code = notRun
	}
	r.note("exit %d", code)
	r.close()
	return code
}
