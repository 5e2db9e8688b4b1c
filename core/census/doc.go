// Package census counts the entries of an availability zone, for limits that all entries keep together. It rather counts one that is
// gone than it misses one that goes on unheard.
//
// Its load: retries and connections that each entry takes a share of, while entries don't hear each other.
package census
