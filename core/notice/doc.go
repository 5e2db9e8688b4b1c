// Package notice defines the datagram by which the leader sends an agent the command for its engine.
//
// The entries and the agents on the operations platform use it.
package notice
