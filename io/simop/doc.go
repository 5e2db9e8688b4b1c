// Package simop is a stand-in of the operations platform for tests: its store and its replicas.
package simop
