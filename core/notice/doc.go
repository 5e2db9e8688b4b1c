// Package notice defines the datagram by which the lead tells an agent what its engine shall be.
package notice
