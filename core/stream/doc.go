// Package stream splits a stream of server-sent events after complete events.
package stream
