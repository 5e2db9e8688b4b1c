// Package fault defines the errors that callers receive.
package fault
