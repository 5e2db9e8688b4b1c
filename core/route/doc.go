// Package route maps requests to services by the platform's routing configuration.
package route
