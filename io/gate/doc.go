// Package gate is the entry process on the operations platform: it takes callers' requests by host
// and path and sends each to an upstream of its route's service.
package gate
