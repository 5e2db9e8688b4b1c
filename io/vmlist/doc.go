// Package vmlist is a client of the platform's list of VMs.
package vmlist
