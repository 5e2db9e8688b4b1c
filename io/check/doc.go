// Package check makes health checks of upstreams.
package check
