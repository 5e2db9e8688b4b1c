// Package grace decides which requests a process that stops may still pass on to upstreams.
//
// Its load: callers that keep sending on connections that were open before, or whose bodies end late, while the process has
// only some seconds left.
package grace
