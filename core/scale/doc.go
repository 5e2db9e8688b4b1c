// Package scale decides how many upstreams of a service an availability zone needs.
package scale
