// Package repeat counts the calls by which one request arrives at upstreams, and tells which of them are repeats.
//
// The entries on the operations platform use it.
package repeat
