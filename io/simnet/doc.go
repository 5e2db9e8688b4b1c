// Package simnet is a stand-in of a network path with faults that tests switch on.
package simnet
