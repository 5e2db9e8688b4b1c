// Package gossip exchanges beats between the entries of a zone, and digests between zones, over UDP.
//
// Each message replaces the previous one from the same sender, so a lost datagram isn't sent again, and there
// is no connection that could stop delivering data without an error.
package gossip
