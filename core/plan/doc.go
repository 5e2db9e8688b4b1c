// Package plan defines the stored document by which the leader commands the upstreams of a target.
package plan
