// Package leave remembers the upstreams that have stated that they leave.
//
// The entries on the operations platform use it.
package leave
