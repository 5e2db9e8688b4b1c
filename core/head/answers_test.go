package head_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"pimentoseam/core/head"
)

// scanAnswers scans data in parts of a size, and returns the number of accepted bytes and the error.
func scanAnswers(data string, size int, method string) (int, error) {
	var a head.Answers
	a.Expect(method)
	accepted := 0
	for at := 0; at < len(data); at += size {
		n, err := a.Scan([]byte(data[at:min(at+size, len(data))]))
		if accepted += n; err != nil {
			return accepted, err
		}
	}
	return accepted, nil
}

// answers are what a client receives; those that begin with ! are refused.
var answers = map[string]string{
	"length":                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"two answers":              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
	"chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX-Sum: a\r\n\r\nHTTP/1.1 200 OK\r\n",
	"connection":               "HTTP/1.1 200 OK\r\nX: a\r\n\r\nHTTP/1.1 000 anything\r\n\x00",
	"no reason":                "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	"empty reason":             "HTTP/1.0 599 \r\nContent-Length: 0\r\n\r\n",
	"interim heads":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
	"no content":               "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"equal lengths":            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
	"tabs and bytes above 127": "HTTP/1.1 200 \xe9\tOK\r\nX-Odd: \ta\tb\xe9 \r\nY:\r\n\r\n",

	"!status 000":                  "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner",
	"!status 099":                  "HTTP/1.1 099 OK\r\n\r\n",
	"!status 101":                  "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner",
	"!status 600":                  "HTTP/1.1 600 OK\r\n\r\n",
	"!status 999":                  "HTTP/1.1 999 OK\r\n\r\n",
	"!status of two digits":        "HTTP/1.1 20 OK\r\n\r\n",
	"!status of four digits":       "HTTP/1.1 2000 OK\r\n\r\n",
	"!status with a sign":          "HTTP/1.1 +20 OK\r\n\r\n",
	"!two spaces":                  "HTTP/1.1  200 OK\r\n\r\n",
	"!HTTP/2.0":                    "HTTP/2.0 200 OK\r\n\r\n",
	"!HTTP/1.7":                    "HTTP/1.7 200 OK\r\n\r\n",
	"!no HTTP":                     "ICY 200 OK\r\n\r\n",
	"!control byte in the reason":  "HTTP/1.1 200 O\x01K\r\n\r\n",
	"!blank before the colon":      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
	"!blank before the length":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length : 4\r\n\r\nhello",
	"!blank in a name":             "HTTP/1.1 200 OK\r\nX Odd: a\r\n\r\n",
	"!blank in an interim name":    "HTTP/1.1 103 Early\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"!blank in a trailer's name":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Odd: a\r\n\r\n",
	"!control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01: a\r\n\r\n",
	"!tab in a name":               "HTTP/1.1 200 OK\r\nX\t: a\r\n\r\n",
	"!DEL in a name":               "HTTP/1.1 200 OK\r\nX\x7f: a\r\n\r\n",
	"!empty name":                  "HTTP/1.1 200 OK\r\n: a\r\n\r\n",
	"!no colon":                    "HTTP/1.1 200 OK\r\nX\r\n\r\n",
	"!NUL in a value":              "HTTP/1.1 200 OK\r\nX: a\x00\r\n\r\n",
	"!folded line":                 "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
	"!bare LF":                     "HTTP/1.1 200 OK\nX: a\r\n\r\n",
	"!CR in a value":               "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n",
	"!unequal lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
	"!list of lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n",
	"!length and chunks":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
	"!unknown coding":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"!coding with HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"!coding without a body":       "HTTP/1.1 204 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"!length after a long name":    "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("0", 80) + "5\r\n\r\n",
	"!bytes after an answer":       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc",
	"!chunk size that isn't one":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
	"!status line without an end":  "HTTP/1.1 200 " + strings.Repeat("a", 70_000),
	"!name without an end":         "HTTP/1.1 200 OK\r\n" + strings.Repeat("a", 70_000),
	"!fields without an end":       "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: a\r\n", 12_000),
	"!interim head without an end": "HTTP/1.1 100 Continue\r\n" + strings.Repeat("X: a\r\n", 12_000),
	"!NUL bytes":                   strings.Repeat("\x00", 10),
}

// TestAnswers guards against answers that are none, or that two HTTP implementations could read otherwise.
func TestAnswers(t *testing.T) {
	for name, data := range answers {
		for _, size := range []int{1, 7, 4096, len(data)} {
			n, err := scanAnswers(data, size, http.MethodGet)
			refused := new(head.Error)
			if got, want := errors.As(err, &refused) && refused.Status == http.StatusBadGateway, name[0] == '!'; got != want || (!want && n != len(data)) {
				t.Errorf("%s in parts of %d: %d of %d bytes accepted, %v", name, size, n, len(data), err)
			}
		}
	}
}

// TestAnswerToHead guards against a body that is looked for after the answer to HEAD.
func TestAnswerToHead(t *testing.T) {
	const data = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"
	if n, err := scanAnswers(data, len(data), http.MethodHead); n != len(data) {
		t.Errorf("%d of %d bytes accepted: %v", n, len(data), err)
	}
}

// FuzzAnswers checks that what is accepted doesn't depend on how it arrives, and that net/http reads a first answer in it, if it is
// whole, with a valid status and valid names.
func FuzzAnswers(f *testing.F) {
	for _, data := range answers {
		f.Add(data[:min(len(data), 500)])
	}
	f.Fuzz(func(t *testing.T, data string) {
		whole, err := scanAnswers(data, max(1, len(data)), http.MethodGet)
		if n, errBytes := scanAnswers(data, 1, http.MethodGet); n != whole || (err == nil) != (errBytes == nil) {
			t.Fatalf("%d bytes accepted at once (%v), %d one by one (%v)", whole, err, n, errBytes)
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(data[:whole])), nil)
		if err != nil {
			return // It is cut off.
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body) // The body may be cut off, too.
		if resp.StatusCode < 100 || resp.StatusCode > 599 {
			t.Errorf("status %d", resp.StatusCode)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t\x00\x7f") {
				t.Errorf("field name %q", name)
			}
		}
	})
}
