// Package gate is the entry process on the operations platform: an HTTP reverse proxy that maps each request to a
// route by host and path and sends it to an upstream of the route's service.
package gate
