// Package intake reads request bodies into memory, each into one buffer that grows as its bytes arrive.
package intake
