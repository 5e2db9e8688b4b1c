// Package socket looks at open connections without reading from them.
package socket
