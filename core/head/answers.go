package head

import (
	"errors"
	"net/http"
)

const (
	// maxAnswerHead bounds one head of an answer in bytes. Upstreams state a few dozen fields; one in trouble may send without end.
	maxAnswerHead = 64 << 10
	// maxFraming bounds the value of a field that states the framing, and the names that are compared.
	maxFraming = 64
	// The statuses that have a meaning (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// readStep handles the next byte of a head, and returns the step for the one after it or nil with an error.
type readStep func(*Answers, byte) (readStep, error)

// Answers scans what one connection of a client receives: heads, interim ones too, bodies and trailers, as strictly as Scanner reads
// those of requests. It keeps no data. Its zero value is ready for use.
type Answers struct {
	next   readStep // Nil between two answers.
	body   bodyKind
	left   int64 // Bytes of the body that are left if it has a length.
	chunks Chunks
	method string
	err    error

	size     int // Bytes of the head so far.
	digits   int // Of the status.
	status   int
	isHTTP10 bool
	framing  framing
	name     prefix // Of the present field.
	value    prefix
}

// prefix holds the first bytes of a name or a value.
type prefix struct {
	bytes [maxFraming]byte
	size  int
}

// add appends a byte if there is room for it.
func (t *prefix) add(b byte) {
	if t.size < len(t.bytes) {
		t.bytes[t.size] = b
	}
	t.size++
}

// isCut reports whether bytes are missing.
func (t *prefix) isCut() bool {
	return t.size > len(t.bytes)
}

// text returns the bytes.
func (t *prefix) text() []byte {
	return t.bytes[:min(t.size, len(t.bytes))]
}

// bodyKind is what the scanned bytes belong to.
type bodyKind string

// The kinds of bytes.
const (
	inHead     bodyKind = ""
	withLength bodyKind = "length"
	withChunks bodyKind = "chunks"
	untilEnd   bodyKind = "connection"
)

// Expect tells the method of the next request. The answer to HEAD has no body.
func (a *Answers) Expect(method string) {
	a.method = method
}

// IsBetween reports whether an answer, or an interim head, has been scanned completely and nothing of the next one.
func (a *Answers) IsBetween() bool {
	return a.body == inHead && a.next == nil
}

// EndsWithConnection reports whether nothing but the end of the connection ends the body that is being scanned.
func (a *Answers) EndsWithConnection() bool {
	return a.body == untilEnd
}

// Scan scans the next bytes. It returns the number of bytes that are accepted; its error is an *Error, after which nothing is.
func (a *Answers) Scan(data []byte) (int, error) {
	n := 0
	for n < len(data) && a.err == nil {
		switch a.body {
		case untilEnd:
			n = len(data)
		case withLength:
			taken := min(a.left, int64(len(data)-n))
			n += int(taken)
			if a.left -= taken; a.left == 0 {
				a.body = inHead
			}
		case withChunks:
			taken, done, err := a.chunks.Scan(data[n:])
			n, a.err = n+taken, err
			if done {
				a.body = inHead
			}
		case inHead:
			if a.err = a.scanHead(data[n]); a.err == nil {
				n++
			}
		}
	}
	a.err = asAnswer(a.err)
	return n, a.err
}

// scanHead handles one byte of a head.
func (a *Answers) scanHead(b byte) error {
	if a.next == nil {
		a.next, a.size, a.digits, a.status, a.framing = versionByte, 0, 0, 0, framing{}
	}
	if a.size++; a.size > maxAnswerHead {
		return badAnswer("head exceeds the limit")
	}
	next, err := a.next(a, b)
	a.next = next
	return err
}

// badAnswer returns the error of a malformed answer.
func badAnswer(reason string) error {
	return &Error{Status: http.StatusBadGateway, Reason: "answer: " + reason}
}

// asAnswer returns the error of a malformed answer in place of one of what requests have, too: framing fields and chunks.
func asAnswer(err error) error {
	if shared := new(Error); errors.As(err, &shared) && shared.Status != http.StatusBadGateway {
		return badAnswer(shared.Reason)
	}
	return err
}

const version = "HTTP/1."

func versionByte(a *Answers, b byte) (readStep, error) {
	i := a.size - 1
	switch {
	case i < len(version) && b == version[i]:
		return versionByte, nil
	case i == len(version) && (b == '0' || b == '1'):
		a.isHTTP10 = b == '0'
		return afterVersion, nil
	}
	return nil, badAnswer("malformed or unknown HTTP version")
}

func afterVersion(_ *Answers, b byte) (readStep, error) {
	if b != ' ' {
		return nil, badAnswer("malformed status line")
	}
	return statusDigit, nil
}

func statusDigit(a *Answers, b byte) (readStep, error) {
	if !isDigit(b) {
		return nil, badAnswer("malformed status")
	}
	a.status, a.digits = 10*a.status+int(b-'0'), a.digits+1
	if a.digits < 3 {
		return statusDigit, nil
	}
	// This client asks for no other protocol, so that what follows 101 has no meaning.
	if a.status < minStatus || a.status > maxStatus || a.status == http.StatusSwitchingProtocols {
		return nil, badAnswer("status out of range")
	}
	return afterStatus, nil
}

// afterStatus handles the byte after the status. Some servers leave out the space before an empty reason.
func afterStatus(_ *Answers, b byte) (readStep, error) {
	switch b {
	case ' ':
		return reason, nil
	case '\r':
		return lineEnd, nil
	}
	return nil, badAnswer("malformed status")
}

func reason(_ *Answers, b byte) (readStep, error) {
	switch {
	case b == '\r':
		return lineEnd, nil
	case classes[b]&text != 0:
		return reason, nil
	}
	return nil, badAnswer("invalid character in the reason")
}

func lineEnd(a *Answers, b byte) (readStep, error) {
	if b != '\n' {
		return nil, badAnswer("line ends without LF")
	}
	a.name.size, a.value.size = 0, 0
	return fieldStart, nil
}

func fieldStart(a *Answers, b byte) (readStep, error) {
	switch {
	case b == '\r':
		return headEnd, nil
	case b == ':':
		return nil, badAnswer("empty field name")
	}
	return fieldName(a, b)
}

func fieldName(a *Answers, b byte) (readStep, error) {
	switch {
	case b == ':':
		return fieldValue, nil
	case classes[b]&token != 0:
		a.name.add(b)
		return fieldName, nil
	}
	return nil, badAnswer("invalid field name")
}

func fieldValue(a *Answers, b byte) (readStep, error) {
	switch {
	case b == '\r':
		return lineEnd, a.addField()
	case classes[b]&text != 0:
		a.value.add(b)
		return fieldValue, nil
	}
	return nil, badAnswer("invalid character in a field value")
}

// addField records a field that states the framing.
func (a *Answers) addField() error {
	if a.name.isCut() {
		return nil
	}
	isLength, isCoding := isName(a.name.text(), "content-length"), isName(a.name.text(), "transfer-encoding")
	switch value := trim(a.value.text()); {
	case (isLength || isCoding) && a.value.isCut():
		return badAnswer("long framing field")
	case isLength:
		return a.framing.addLength(value)
	case isCoding:
		return a.framing.addCodings(value)
	}
	return nil
}

// headEnd handles the last byte of a head and finds out what follows it.
func headEnd(a *Answers, b byte) (readStep, error) {
	f := &a.framing
	switch {
	case b != '\n':
		return nil, badAnswer("head ends without LF")
	case f.codings > 0 && f.digits > 0:
		return nil, badAnswer("Content-Length with a transfer coding")
	case f.codings > 0 && a.isHTTP10:
		return nil, badAnswer("transfer coding with HTTP/1.0")
	case f.hasUnknown || f.codings > 1:
		return nil, badAnswer("unknown or several transfer codings")
	case a.status < http.StatusOK, a.status == http.StatusNoContent, a.status == http.StatusNotModified, a.method == http.MethodHead:
		if f.codings > 0 && a.method != http.MethodHead {
			return nil, badAnswer("transfer coding without a body")
		}
	case f.codings > 0:
		a.body, a.chunks = withChunks, Chunks{}
	case f.digits == 0:
		a.body = untilEnd
	case f.length > 0:
		a.body, a.left = withLength, f.length
	}
	return nil, nil
}
