package head

import (
	"bytes"
	"math"
)

// framing is what the fields of a head state of the body.
type framing struct {
	digits     int // Digits of Content-Length; 0 without that field.
	length     int64
	codings    int  // Number of transfer codings.
	hasUnknown bool // A transfer coding other than chunked.
}

// addLength records the value of a Content-Length field.
func (f *framing) addLength(value []byte) error {
	if len(value) == 0 {
		return bad("empty Content-Length")
	}
	n := int64(0)
	for _, b := range value {
		if !isDigit(b) {
			return bad("malformed Content-Length")
		}
		digit := int64(b - '0')
		if n > (math.MaxInt64-digit)/10 {
			return bad("Content-Length overflows")
		}
		n = 10*n + digit
	}
	// net/http also refuses equal numbers that are written with different numbers of zeros.
	if f.digits > 0 && (n != f.length || len(value) != f.digits) {
		return bad("unequal Content-Length fields")
	}
	f.digits, f.length = len(value), n
	return nil
}

// addCodings records the value of a Transfer-Encoding field.
func (f *framing) addCodings(value []byte) error {
	for coding := range bytes.SplitSeq(value, []byte{','}) {
		coding = trim(coding)
		name, _, _ := bytes.Cut(coding, []byte{';'})
		if name = trim(name); len(name) == 0 || !only(name, token) {
			return bad("malformed Transfer-Encoding")
		}
		f.codings++
		f.hasUnknown = f.hasUnknown || !isName(coding, "chunked")
	}
	return nil
}
