// Package notice defines the datagram by which the leader sends an agent the command for its engine.
package notice
