// Package meter counts outcomes and measures latencies of a process and serves them as expvar does.
package meter
