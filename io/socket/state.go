package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as the kernel sees it.
type State string

// The states of a connection.
const (
	Idle     State = "quiet"  // Open, with no data to read.
	Readable State = "data"   // Open, with data to read.
	Closed   State = "closed" // Closed or reset by the peer, or failed.
)

// Peek returns the state of a connection; one whose state can't be read counts as Closed.
func Peek(c net.Conn) State {
	state, _ := PeekError(c)
	return state
}

// PeekError returns the state of a connection and the error of the socket, such as a reset by the peer. The kernel reports such an
// error once: after it, a read returns the end of the data as if the peer had closed the connection properly.
func PeekError(c net.Conn) (State, error) {
	raw, err := rawConn(c)
	if err != nil {
		return Closed, err
	}
	state := Closed
	var b [1]byte
	var socketErr error
	// Unlike RawConn.Read, Control does not block while another goroutine reads from the connection.
	if err := raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Idle
		case err != nil:
			socketErr = err
		case n > 0:
			state = Readable
		}
	}); err != nil {
		return Closed, err
	}
	return state, socketErr
}

func rawConn(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return s.SyscallConn()
}
