package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"pimentoseam/io/socket"
)

// TestLook looks at a connection while another goroutine reads from it, as an HTTP server does.
func TestLook(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	if got := socket.Look(near); got != socket.Quiet {
		t.Errorf("idle: got %s", got)
	}
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		var b [1]byte
		_, _ = near.Read(b[:]) // Ends with the byte that is sent below.
	}()
	time.Sleep(20 * time.Millisecond)
	looked := make(chan socket.State, 1)
	go func() { looked <- socket.Look(near) }()
	select {
	case got := <-looked:
		if got != socket.Quiet {
			t.Errorf("while read from: got %s", got)
		}
	case <-time.After(time.Second):
		t.Fatal("waits for the other goroutine's read")
	}
	if _, err := io.WriteString(far, "ab"); err != nil {
		t.Fatal(err)
	}
	<-reading
	time.Sleep(20 * time.Millisecond)
	if got := socket.Look(near); got != socket.Data {
		t.Errorf("with a byte: got %s", got)
	}
	var b [1]byte
	if _, err := near.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if got := socket.Look(near); got != socket.Closed {
		t.Errorf("closed: got %s", got)
	}
}
