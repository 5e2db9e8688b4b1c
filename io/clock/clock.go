package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a clock that goes on while the VM is suspended. The runtime's monotonic clock stands still then.
type Clock struct {
	startWall time.Time
	startBoot time.Duration
}

// New returns a Clock that takes the true time from the wall clock once.
func New() *Clock {
	return &Clock{startWall: time.Now().Round(0), startBoot: bootTime()}
}

// Now returns the time since the VM was started.
func (c *Clock) Now() time.Duration {
	return bootTime()
}

// True returns the wall clock's time when c was made, advanced by the time since.
func (c *Clock) True() time.Time {
	return c.startWall.Add(bootTime() - c.startBoot)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has had this clock since 2.6.39.
	}
	return time.Duration(ts.Nano())
}
