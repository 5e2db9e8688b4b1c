// Package trace generates seeded traces of requests whose mix of prefill-heavy and decode-heavy requests varies.
package trace
