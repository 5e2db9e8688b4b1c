package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unsent returns how many bytes that were written to a connection its peer hasn't acknowledged, and false if that isn't known.
func Unsent(c net.Conn) (int, bool) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, false
	}
	unsent := 0
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { unsent, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil || ioctlErr != nil {
		return 0, false
	}
	return unsent, true
}
