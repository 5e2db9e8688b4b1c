// Package event keeps the recent events of one process, from which the time line of all processes is merged.
package event
