// Package simnet simulates a TCP path on which tests inject network faults.
package simnet
