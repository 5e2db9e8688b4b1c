// Package door is an HTTP server for callers whose limits can change while it runs.
package door
