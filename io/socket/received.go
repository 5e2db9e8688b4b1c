package socket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// clockTick is the longest tick of the kernel's clock, by which its times since an event may be too short.
const clockTick = 10 * time.Millisecond

// LastReceived returns when the last data arrived on a TCP connection, at the earliest; now if the kernel doesn't tell. Data may
// be read much later, if this process was suspended.
func LastReceived(c net.Conn) time.Time {
	now := time.Now()
	raw, err := rawConn(c)
	if err != nil {
		return now
	}
	received := now
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			received = now.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - clockTick)
		}
	}); err != nil {
		return now
	}
	return received
}
