// Package alive decides whether a run of an upstream was alive after one of its responses ended with its connection. A kernel
// closes the connections of a process that was killed as it does those of one that has finished.
//
// The entries on the operations platform use it.
package alive
