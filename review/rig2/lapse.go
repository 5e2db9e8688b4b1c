//go:build review

package main

import "time"

const (
	// cutTime is how long the replica is cut off from the store before it crashes (`for_s` of the disruptions of the sheet).
	cutTime = 5500 * time.Millisecond
	// longStream is the number of events of streams that last 7.2 s of the 8 s that their route allows.
	longStream = 90
)

// playLapse cuts a replica off from the store, so that its registration lapses although it goes on serving, and lets it crash behind
// the cut.
func playLapse(r *rig) (int, error) {
	return r.playStreams(longStream, func(concerned *proc, listed *member) {
		time.Sleep(400 * time.Millisecond)
		if !r.trouble {
			return
		}
		listed.silence(r)
		r.note("i-1 is cut off from the store; its entry is removed after three heartbeats of silence")
		time.Sleep(cutTime)
		concerned.kill()
		r.note("i-1 crashes")
	})
}
