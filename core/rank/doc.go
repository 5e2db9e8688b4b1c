// Package rank orders names by rendezvous hashing, so that every process derives the same order for a key.
package rank
