// Package simkv simulates the platform's key-value store.
package simkv
