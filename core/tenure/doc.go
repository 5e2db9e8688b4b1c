// Package tenure decides when an entry may call the provider as the holder of the duties.
package tenure
