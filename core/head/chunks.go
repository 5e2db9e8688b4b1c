package head

import "slices"

const (
	// maxChunkBits bounds the size of a chunk in bits, so that no sum of sizes overflows.
	maxChunkBits = 60
	// maxChunkDigits bounds the digits of a chunk's size, which may begin with zeros, to those of 64 bits.
	maxChunkDigits = 16
	// maxExtension bounds the extensions of one chunk in bytes. Signatures of chunks, which some callers send, need fewer than 100.
	maxExtension = 1024
	// net/http takes chunkAllowance bytes of overhead for each chunk and twice its data, and maxExcess bytes above that. A body with
	// more consists of extensions for the most part.
	chunkAllowance = 16
	maxExcess      = 16 << 10
	// maxTrailers bounds the trailer section in bytes; net/http takes no more than its buffer holds.
	maxTrailers = 4096
	// maxTrailerName is the number of bytes of a trailer's name that are compared; no forbidden name is longer.
	maxTrailerName = 32
)

// forbiddenTrailers are the fields of framing, routing, credentials and connections, which a trailer must not have (RFC 9110,
// section 6.5.1).
var forbiddenTrailers = []string{
	"authorization", "connection", "content-encoding", "content-length", "content-range", "content-type", "cookie", "expect",
	"forwarded", "host", "keep-alive", "max-forwards", "proxy-authenticate", "proxy-authorization", "proxy-connection",
	"set-cookie", "te", "trailer", "transfer-encoding", "upgrade", "www-authenticate", "x-forwarded-for", "x-forwarded-host",
}

// isForbidden reports whether a trailer must not have a name; reserved holds further names in lower case.
func isForbidden(name []byte, reserved []string) bool {
	matches := func(other string) bool { return isName(name, other) }
	return slices.ContainsFunc(forbiddenTrailers, matches) || slices.ContainsFunc(reserved, matches)
}

// step handles the next byte of a chunked body, and returns the step for the one after it or nil with an error.
type step func(*Chunks, byte) (step, error)

// Chunks scans the framing of one chunked body. Its zero value is ready for use.
type Chunks struct {
	// Reserved holds further names that trailers must not have, in lower case, of at most 32 bytes.
	Reserved []string

	next      step // Nil before the first byte.
	err       error
	done      bool
	inData    bool
	size      int64 // Of the chunk; what is left of it while its data is scanned.
	digits    int
	extension int // Bytes of the chunk's extensions.
	excess    int64
	trailers  int // Bytes of the trailer section.
	name      [maxTrailerName]byte
	nameSize  int
}

// Scan scans the next bytes of the body. It returns the number of bytes that are accepted, and whether they end the body. Its
// error is an *Error; the bytes before it are accepted nevertheless.
func (c *Chunks) Scan(data []byte) (n int, done bool, err error) {
	if c.next == nil {
		c.next = firstDigit
	}
	for n < len(data) && !c.done && c.err == nil {
		if c.inData {
			taken := min(c.size, int64(len(data)-n))
			c.size -= taken
			n += int(taken)
			c.inData = c.size > 0
			continue
		}
		next, err := c.next(c, data[n])
		if err != nil {
			c.err = err
			break
		}
		c.next = next
		n++
	}
	return n, c.done, c.err
}

func firstDigit(c *Chunks, b byte) (step, error) {
	c.size, c.digits, c.extension = 0, 0, 0
	if !isHex(b) {
		return nil, bad("malformed chunk size")
	}
	return digit(c, b)
}

func digit(c *Chunks, b byte) (step, error) {
	if value, ok := hexValue(b); ok {
		c.size, c.digits = c.size<<4|value, c.digits+1
		if c.digits > maxChunkDigits || c.size >= 1<<maxChunkBits {
			return nil, bad("chunk size overflows")
		}
		return digit, nil
	}
	return endOfPart(c, b, "malformed chunk size")
}

// endOfPart handles the byte after a chunk's size or a part of an extension.
func endOfPart(c *Chunks, b byte, reason string) (step, error) {
	switch b {
	case '\r':
		return sizeLF, nil
	case ';':
		return extensionName, c.addExtension()
	}
	return nil, bad(reason)
}

// addExtension counts one byte of an extension.
func (c *Chunks) addExtension() error {
	c.extension++
	if c.extension > maxExtension {
		return bad("long chunk extension")
	}
	return nil
}

func extensionName(c *Chunks, b byte) (step, error) {
	if classes[b]&token == 0 {
		return nil, bad("malformed chunk extension")
	}
	return inExtensionName, c.addExtension()
}

func inExtensionName(c *Chunks, b byte) (step, error) {
	switch {
	case classes[b]&token != 0:
		return inExtensionName, c.addExtension()
	case b == '=':
		return extensionValue, c.addExtension()
	}
	return endOfPart(c, b, "malformed chunk extension")
}

func extensionValue(c *Chunks, b byte) (step, error) {
	switch {
	case b == '"':
		return inQuotes, c.addExtension()
	case classes[b]&token != 0:
		return inExtensionValue, c.addExtension()
	}
	return nil, bad("malformed chunk extension")
}

func inExtensionValue(c *Chunks, b byte) (step, error) {
	if classes[b]&token != 0 {
		return inExtensionValue, c.addExtension()
	}
	return endOfPart(c, b, "malformed chunk extension")
}

func inQuotes(c *Chunks, b byte) (step, error) {
	switch {
	case b == '"':
		return afterQuotes, c.addExtension()
	case b == '\\':
		return escaped, c.addExtension()
	case classes[b]&text != 0:
		return inQuotes, c.addExtension()
	}
	return nil, bad("malformed chunk extension")
}

func escaped(c *Chunks, b byte) (step, error) {
	if classes[b]&text == 0 {
		return nil, bad("malformed chunk extension")
	}
	return inQuotes, c.addExtension()
}

func afterQuotes(c *Chunks, b byte) (step, error) {
	return endOfPart(c, b, "malformed chunk extension")
}

// sizeLF handles the last byte of the line with a chunk's size.
func sizeLF(c *Chunks, b byte) (step, error) {
	if b != '\n' {
		return nil, bad("chunk size line ends without LF")
	}
	// The line and the two bytes after the data are overhead.
	c.excess = max(0, c.excess+int64(c.digits+c.extension)+2-chunkAllowance-2*c.size)
	if c.excess > maxExcess {
		return nil, bad("chunks hold more extensions than data")
	}
	if c.size == 0 {
		return trailerLine, nil
	}
	c.inData = true
	return dataCR, nil
}

func dataCR(_ *Chunks, b byte) (step, error) {
	if b != '\r' {
		return nil, bad("chunk longer than its size")
	}
	return dataLF, nil
}

func dataLF(_ *Chunks, b byte) (step, error) {
	if b != '\n' {
		return nil, bad("chunk longer than its size")
	}
	return firstDigit, nil
}

// addTrailer counts one byte of the trailer section.
func (c *Chunks) addTrailer() error {
	c.trailers++
	if c.trailers > maxTrailers {
		return bad("long trailers")
	}
	return nil
}

// trailerLine handles the first byte of a trailer or of the empty line that ends the body.
func trailerLine(c *Chunks, b byte) (step, error) {
	c.nameSize = 0
	if b == '\r' {
		return lastLF, c.addTrailer()
	}
	if b == ':' {
		return nil, bad("invalid trailer name")
	}
	return trailerName(c, b)
}

func trailerName(c *Chunks, b byte) (step, error) {
	switch {
	case classes[b]&token != 0:
		if c.nameSize < len(c.name) {
			c.name[c.nameSize] = b
		}
		c.nameSize++
		return trailerName, c.addTrailer()
	case b != ':':
		return nil, bad("invalid trailer name")
	case c.nameSize <= len(c.name) && isForbidden(c.name[:c.nameSize], c.Reserved):
		return nil, bad("forbidden trailer")
	}
	return trailerValue, c.addTrailer()
}

func trailerValue(c *Chunks, b byte) (step, error) {
	switch {
	case b == '\r':
		return trailerLF, c.addTrailer()
	case classes[b]&text != 0:
		return trailerValue, c.addTrailer()
	}
	return nil, bad("invalid character in a trailer")
}

func trailerLF(c *Chunks, b byte) (step, error) {
	if b != '\n' {
		return nil, bad("trailer ends without LF")
	}
	return trailerLine, c.addTrailer()
}

// lastLF handles the last byte of the body.
func lastLF(c *Chunks, b byte) (step, error) {
	if b != '\n' {
		return nil, bad("trailers end without LF")
	}
	err := c.addTrailer()
	c.done = err == nil
	return lastLF, err
}
