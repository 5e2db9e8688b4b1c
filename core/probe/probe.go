package probe

import "time"

const (
	// firstWait is the wait of a probing entry after its first failed call; it doubles with each further one.
	firstWait = 250 * time.Millisecond
	// maxProbeWait is the longest wait of a probing entry, so that recovery is noticed soon.
	maxProbeWait = time.Second
	// waitPerEntry is the mean time between calls of all entries of a fleet that don't probe, together.
	waitPerEntry = 100 * time.Millisecond
	// minOtherWait and maxOtherWait limit the wait of an entry that doesn't probe. It may be cut off from the others,
	// so it doesn't rely on them for longer.
	minOtherWait = time.Second
	maxOtherWait = 10 * time.Second
)

// Wait returns how long an entry waits after a failed call to the store. rank is the number of live entries in its zone
// before it; the first one probes. entries is the number of entries in all zones, and previous the wait before the
// failed call, 0 for none.
func Wait(rank, entries int, previous time.Duration) time.Duration {
	if rank == 0 {
		return min(max(2*previous, firstWait), maxProbeWait)
	}
	return min(max(time.Duration(entries)*waitPerEntry, minOtherWait), maxOtherWait)
}
