// Package store is a client of the platform's key-value store.
package store
