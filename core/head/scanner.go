package head

import (
	"bytes"
	"net/http"
	"strings"
)

// Framing is what ends the body of a request.
type Framing string

// The framings of a body.
const (
	None    Framing = "none"    // There is no body.
	Length  Framing = "length"  // Content-Length.
	Chunked Framing = "chunked" // The last chunk.
)

// Head describes a complete head. Its slices are parts of the scanned data.
type Head struct {
	Method  []byte
	Target  []byte
	Host    []byte // The value of the Host field.
	Skip    int    // Bytes of an empty line before the head.
	Size    int    // Bytes of the head with the empty line at its end, without Skip.
	Fields  int    // Number of header fields.
	Framing Framing
	Length  int64 // Bytes of the body if Framing is Length.
}

// span is a part of the scanned data.
type span struct {
	from, to int
}

// Scanner scans one request head. It keeps positions and no data, so that it needs little memory.
type Scanner struct {
	limit    int // The largest head in bytes.
	skip     int // Bytes of an empty line before the head.
	line     int // Where the line begins that is scanned next.
	searched int // How far the end of that line has been searched.
	method   span
	target   span
	host     span
	fields   int
	isHTTP10 bool
	hasHost  bool

	framing
	badTrailers bool // The Trailer field names a field that a trailer must not have.
}

// New returns a Scanner for a head of at most limit bytes.
func New(limit int) Scanner {
	return Scanner{limit: limit}
}

// Scan scans data, which begins with what earlier calls got. It returns false if it needs more bytes, and true if the head is
// complete. Its error is an *Error.
func (s *Scanner) Scan(data []byte) (bool, error) {
	for {
		i := bytes.IndexByte(data[s.searched:], '\n')
		if i < 0 {
			s.searched = len(data)
			if len(data)-s.skip >= s.limit {
				return false, s.tooLarge()
			}
			return false, nil
		}
		end := s.searched + i
		if end+1-s.skip > s.limit {
			return false, s.tooLarge()
		}
		if end == s.line || data[end-1] != '\r' {
			return false, bad("line ends without CR")
		}
		from, to := s.line, end-1
		s.line, s.searched = end+1, end+1
		switch {
		case from < to && s.method.to == 0:
			if err := s.scanRequestLine(data, from, to); err != nil {
				return false, err
			}
		case from < to:
			if err := s.scanField(data, from, to); err != nil {
				return false, err
			}
		case s.method.to > 0:
			return true, s.check(data)
		case s.skip > 0:
			return false, bad("several empty lines before the head")
		default:
			s.skip = s.line // Some clients send an empty line after a body (RFC 9112, section 2.2).
		}
	}
}

func (s *Scanner) tooLarge() error {
	return &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "head exceeds the limit"}
}

// Head returns the complete head; data is that of the last Scan.
func (s *Scanner) Head(data []byte) Head {
	h := Head{
		Method: data[s.method.from:s.method.to], Target: data[s.target.from:s.target.to], Host: data[s.host.from:s.host.to],
		Skip: s.skip, Size: s.line - s.skip, Fields: s.fields, Framing: None, Length: s.length,
	}
	switch {
	case s.codings > 0:
		h.Framing = Chunked
	case s.length > 0:
		h.Framing = Length
	}
	return h
}

func (s *Scanner) scanRequestLine(data []byte, from, to int) error {
	line := data[from:to]
	first, last := bytes.IndexByte(line, ' '), bytes.LastIndexByte(line, ' ')
	if first <= 0 || first == last {
		return bad("malformed request line")
	}
	method, target, version := line[:first], line[first+1:last], line[last+1:]
	s.method, s.target = span{from, from + first}, span{from + first + 1, from + last}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		s.isHTTP10 = true
	default:
		if len(version) == len("HTTP/1.1") && bytes.HasPrefix(version, []byte("HTTP/")) && version[6] == '.' && isDigit(version[5]) && isDigit(version[7]) {
			return &Error{Status: http.StatusHTTPVersionNotSupported, Reason: "unknown HTTP version"}
		}
		return bad("malformed HTTP version")
	}
	if !only(method, token) {
		return bad("invalid method")
	}
	return checkTarget(method, target)
}

func isDigit(b byte) bool {
	return '0' <= b && b <= '9'
}

func (s *Scanner) scanField(data []byte, from, to int) error {
	line := data[from:to]
	colon := bytes.IndexByte(line, ':')
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return bad("folded header line")
	case colon <= 0 || !only(line[:colon], token):
		return bad("invalid field name")
	case !only(line[colon+1:], text):
		return bad("invalid character in a field value")
	}
	s.fields++
	name, value := line[:colon], trim(line[colon+1:])
	switch len(name) {
	case len("host"):
		if isName(name, "host") {
			return s.addHost(value, data, to)
		}
	case len("trailer"):
		if isName(name, "trailer") {
			for field := range bytes.SplitSeq(value, []byte{','}) {
				s.badTrailers = s.badTrailers || isForbidden(trim(field), nil)
			}
		}
	case len("content-length"):
		if isName(name, "content-length") {
			return s.addLength(value)
		}
	case len("transfer-encoding"):
		if isName(name, "transfer-encoding") {
			return s.addCodings(value)
		}
	}
	return nil
}

// isName reports whether a field has a name, which is in lower case.
func isName(field []byte, name string) bool {
	return len(field) == len(name) && strings.EqualFold(string(field), name)
}

// addHost records the Host field, whose value is in the line that ends at to.
func (s *Scanner) addHost(value, data []byte, to int) error {
	if s.hasHost {
		return bad("several Host fields")
	}
	if !isAuthority(value) {
		return bad("invalid Host")
	}
	s.hasHost = true
	for data[to-1] == ' ' || data[to-1] == '\t' {
		to--
	}
	s.host = span{to - len(value), to}
	return nil
}

// check checks what depends on several lines of the head.
func (s *Scanner) check(data []byte) error {
	target, host := data[s.target.from:s.target.to], data[s.host.from:s.host.to]
	authority, _, isAbsolute := authorityOf(target)
	switch {
	case !s.hasHost:
		return bad("no Host field")
	case isAbsolute && !bytes.EqualFold(authority, host):
		return bad("the target's authority isn't that of Host")
	case s.codings > 0 && s.digits > 0:
		return bad("Content-Length with a transfer coding")
	case s.codings > 0 && s.isHTTP10:
		return bad("transfer coding with HTTP/1.0")
	case s.hasUnknown:
		return &Error{Status: http.StatusNotImplemented, Reason: "unknown transfer coding"}
	case s.codings > 1:
		return bad("several transfer codings")
	case s.codings > 0 && s.badTrailers:
		return bad("forbidden trailer announced")
	}
	return nil
}
