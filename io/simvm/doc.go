// Package simvm simulates the platform's list of VMs, which lags behind their actual state.
package simvm
