// Package server is an HTTP server on nbio with streamed responses, backpressure and detection of disconnects.
package server
