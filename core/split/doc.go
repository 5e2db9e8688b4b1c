// Package split decides how many engines of a service process prompts and how many generate output.
package split
