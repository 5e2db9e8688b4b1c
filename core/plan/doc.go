// Package plan defines the stored document by which the leader commands the upstreams of a service.
//
// All entries and agents use it.
package plan
