// Package alert defines the gossip message with what entries of older versions may ignore.
//
// The encoding of a beat is fixed: an entry rejects one with more fields than it knows. An alert is a map by number, so
// that fields can be added to it. Entries that know no alerts log it as an invalid beat.
package alert
