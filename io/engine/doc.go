// Package engine implements the client of one upstream, which is a model engine or a plain service.
package engine
