// Package gossip carries beats between the entries of a zone, and the sums of zones between them, in
// datagrams.
//
// A beat replaces the one before, so a lost datagram needs no repeat and there is no connection
// that could go silent.
package gossip
