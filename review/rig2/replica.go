//go:build review

package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const eventPause = 80 * time.Millisecond // Between two events of a stream.

// runReplica runs a sound engine of role decode. Its streams have no length and end with their connections, as the pages allow.
func runReplica(args []string) error {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	id := flags.String("id", "", "id")
	addr := flags.String("listen", "", "address")
	events := flags.Int("events", 1, "events of a stream")
	if err := flags.Parse(args); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", *id) })
	mux.HandleFunc("GET /api/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"decode","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":400000,"kvHandles":0}`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		if err := serveStream(w, req, *id, *events); err != nil {
			fmt.Fprintf(os.Stderr, "%s broke off %s: %v\n", *id, req.Header.Get("X-Attempt-Id"), err)
		}
	})
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		return err
	}
	return http.Serve(l, mux)
}

// serveStream answers a request with a stream without a length.
func serveStream(w http.ResponseWriter, req *http.Request, id string, events int) error {
	attempt := req.Header.Get("X-Attempt-Id")
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != id || req.Header.Get("X-Stage") == "prefill" {
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	first := 1
	if after, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	fmt.Printf("%s runs %s from event %d\n", id, attempt, first)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nConnection: close\r\n\r\n", attempt, id, attempt); err != nil {
		return err
	}
	for i := first; i <= events; i++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", i, attempt, i); err != nil {
			return err
		}
		time.Sleep(eventPause)
		if isClosed(conn) {
			return errors.New("the caller has left")
		}
	}
	fmt.Printf("%s completes %s\n", id, attempt)
	return nil
}

// isClosed reports whether the peer has closed its connection.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	return err != nil && !(errors.As(err, &netErr) && netErr.Timeout())
}
