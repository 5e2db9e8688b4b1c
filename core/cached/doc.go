// Package cached tracks which engines have which shared prompt prefixes in their KV cache.
//
// The entries on the operations platform use it.
package cached
