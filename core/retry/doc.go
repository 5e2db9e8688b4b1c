// Package retry limits retries to a fraction of the requests.
package retry
