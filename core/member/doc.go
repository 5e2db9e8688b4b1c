// Package member keeps the set of upstreams that the platform lists.
package member
