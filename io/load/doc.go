// Package load sends the requests of several callers to entries and counts the outcomes.
package load
