// Package duty carries out the duties of the entry that holds the leader's lease: it records the usage of each window in
// the store and reports it to the provider.
package duty
