// Package answer checks what clients of HTTP receive before it is parsed.
//
// The parser of net/http accepts heads that other implementations read otherwise, and takes an interrupted connection for an ended
// one if a write has got its error. All clients of the
// programs read through this package; the stand-ins of tests don't.
package answer
