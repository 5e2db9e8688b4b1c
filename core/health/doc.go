// Package health provides a circuit breaker for calls to an upstream.
package health
