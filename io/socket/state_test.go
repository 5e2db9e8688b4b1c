package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"pimentoseam/io/socket"
)

// TestLook checks the state of a connection, also while another goroutine blocks in a read from it, as in an
// HTTP server.
func TestLook(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got := socket.Peek(conn); got != socket.Idle {
		t.Errorf("idle: got %s", got)
	}
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		var b [1]byte
		_, _ = conn.Read(b[:]) // Returns with the first byte that is sent below.
	}()
	time.Sleep(20 * time.Millisecond)
	states := make(chan socket.State, 1)
	go func() { states <- socket.Peek(conn) }()
	select {
	case got := <-states:
		if got != socket.Idle {
			t.Errorf("during a read: got %s", got)
		}
	case <-time.After(time.Second):
		t.Fatal("Peek blocks until the other goroutine's read returns")
	}
	if _, err := io.WriteString(client, "ab"); err != nil {
		t.Fatal(err)
	}
	<-readDone
	time.Sleep(20 * time.Millisecond)
	if got := socket.Peek(conn); got != socket.Readable {
		t.Errorf("with unread data: got %s", got)
	}
	var b [1]byte
	if _, err := conn.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if got := socket.Peek(conn); got != socket.Closed {
		t.Errorf("closed: got %s", got)
	}
}
