package socket

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// EndOf returns a function that blocks until the peer has closed the connection or its read deadline passes, and returns that as an
// error: io.EOF if the peer has closed it. It reads no data, so that it sees the end only once all data before it has been read.
// It must not be called concurrently; its calls allocate no memory.
func EndOf(c syscall.Conn) func() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return func() error { return err }
	}
	var b [1]byte
	var end error
	peek := func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
			return false
		case err != nil:
			end = &net.OpError{Op: "read", Net: "tcp", Err: err}
		case n == 0:
			end = io.EOF
		}
		return end != nil
	}
	return func() error {
		end = nil
		if err := raw.Read(peek); err != nil {
			return err
		}
		return end
	}
}
