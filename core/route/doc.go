// Package route finds the route of a request in the configuration of a platform.
package route
