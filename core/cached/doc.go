// Package cached tracks which engines have which shared prompt prefixes in their KV cache.
package cached
