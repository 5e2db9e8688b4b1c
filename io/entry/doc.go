// Package entry implements the proxy process that relays requests from callers to the agents of upstreams.
package entry
