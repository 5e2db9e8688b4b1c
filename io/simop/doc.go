// Package simop simulates the operations platform in tests: its metadata store, and the replicas and model engines
// that register in it.
package simop
