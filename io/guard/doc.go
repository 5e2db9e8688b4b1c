// Package guard keeps the connections of one listener within a memory budget and ends those that make no progress.
package guard
