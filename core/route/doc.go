// Package route maps requests to services by the platform's routing configuration.
//
// The entries on the operations platform use it.
package route
