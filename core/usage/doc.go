// Package usage counts the requests of organisations by window, and merges the counts of several entries.
package usage
