// Package front is an HTTP server for callers; its limits can change while it runs.
package front
