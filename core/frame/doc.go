// Package frame defines the messages between entries and agents and their CBOR encoding.
package frame
