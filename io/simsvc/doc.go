// Package simsvc simulates a plain service with idempotent and non-idempotent calls.
package simsvc
