// Package dedup tracks the idempotency keys of requests so that each request runs at most once at its upstream.
package dedup
