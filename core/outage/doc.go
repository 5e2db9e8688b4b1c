// Package outage decides when the callers of a service may come back that has no upstream left.
//
// Most callers come back once. One that is told to return while all upstreams are still down is refused again, so the time
// follows from how long such an outage usually lasts, not from when the next attempt is possible.
package outage
