// Package client is an HTTP/1.1 client with a connection pool. Its errors state whether a request can have run.
package client
