// Package subset assigns each client a fixed-size subset of the servers, with an even number of clients a server.
package subset
