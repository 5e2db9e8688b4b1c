//go:build review

// Command replica is a stand-in of a replica that runs as a process of its own. Its answers have neither a length nor chunks and
// end with their channel, as the pages allow. It writes a line to standard output for each run and for its end.
//
// Usage: replica ADDRESS ID PIECES GAP
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func main() {
	addr, id := os.Args[1], os.Args[2]
	pieces, err := strconv.Atoi(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	gap, err := time.ParseDuration(os.Args[4])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			fmt.Println(err)
			os.Exit(2)
		}
		go serve(c, id, pieces, gap)
	}
}

// serve answers the requests of one channel; an answer to a run ends it.
func serve(c net.Conn, id string, pieces int, gap time.Duration) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		reject := func(status, more string) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, id, more)
		}
		target := req.Header.Get("X-Target-Instance")
		switch {
		case target != "" && target != id:
			reject("421 Misdirected Request", "X-Attempt-Id: "+attempt+"\r\n")
			continue
		case attempt == "":
			reject("400 Bad Request", "X-Not-Executed: 1\r\n")
			continue
		}
		fmt.Printf("runs %s\n", attempt)
		kind := "text/plain"
		isStream := strings.HasPrefix(req.URL.Path, "/summary/")
		if isStream {
			kind = "text/event-stream"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.%s.%s\r\nX-Instance-Id: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", attempt, id, attempt, id, kind)
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= pieces; i++ {
			piece := fmt.Sprintf("%s piece %d of %d\n", attempt, i, pieces)
			if isStream {
				piece = fmt.Sprintf("id: %d\ndata: %s\n", i, piece)
			}
			if _, err := io.WriteString(c, piece); err != nil {
				fmt.Printf("caller of %s has left\n", attempt)
				return
			}
			time.Sleep(gap)
		}
		fmt.Printf("ends %s\n", attempt)
		return
	}
}
