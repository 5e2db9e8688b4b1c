// Package tally counts the requests of organisations in one entry, keeps copies of the counts of other entries, and
// collects those of all entries.
package tally
