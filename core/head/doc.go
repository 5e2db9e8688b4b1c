// Package head scans the heads of HTTP/1.x requests and the framing of their bodies (RFC 9112) strictly.
//
// It accepts fewer requests than net/http does and none that net/http reads otherwise. A connection that passes on only what
// was accepted can't be made to see other requests than an HTTP implementation behind it (request smuggling).
package head
