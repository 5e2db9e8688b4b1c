// Package socket reports the state of open connections without reading from them.
package socket
