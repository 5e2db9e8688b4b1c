package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what the system knows of a connection's other end.
type State string

// The states of a connection.
const (
	Quiet  State = "quiet"  // Open, and nothing waits to be read.
	Data   State = "data"   // Open, and bytes wait to be read.
	Closed State = "closed" // Closed or reset by the other end, or broken.
)

// Look returns the state of a connection; one that can't be looked at counts as closed.
func Look(c net.Conn) State {
	raw, err := rawConn(c)
	if err != nil {
		return Closed
	}
	state := Closed
	var b [1]byte
	// Control does not wait for another goroutine's Read, as Read would.
	if err := raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Data
		}
	}); err != nil {
		return Closed
	}
	return state
}

func rawConn(c net.Conn) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return s.SyscallConn()
}
