// Package meter collects the counters, gauges and latency histograms of a process and serves them in expvar's format.
package meter
