package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// sumBytes is the size of a Sum: 64 bits of a cryptographic hash. Few are known at a time, so that chance makes no two the same, and
// nobody can make a request that collides with a given one.
const sumBytes = 8

// Sum identifies all copies of a request, whichever entry they reach.
type Sum [sumBytes]byte

// BadSum reports a text that isn't a Sum.
type BadSum struct {
	Text string
}

// Error returns a message with the text.
func (e *BadSum) Error() string {
	return "no digest of a request: " + e.Text
}

// String returns the digest in hexadecimal.
func (d Sum) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText returns the digest in hexadecimal.
func (d Sum) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes what MarshalText returned; its error is a *BadSum.
func (d *Sum) UnmarshalText(text []byte) error {
	parsed, err := hex.DecodeString(string(text))
	if err != nil || len(parsed) != sumBytes {
		return &BadSum{Text: string(text)}
	}
	copy(d[:], parsed)
	return nil
}

// Request holds what tells requests apart. What differs between attempts, such as ids, times and the entry, isn't part of it, nor
// is the caller's address: no upstream sees it, and callers have several.
type Request struct {
	Service     string // The service that runs it; another one may take what this one can't.
	Method      string
	Host        string
	Path        string
	Query       string
	Prompt      string // The model and the parts of the prompt; empty without one.
	Credentials string // States who calls.
	Others      string // The other headers that are passed on.
	Body        []byte
}

// Exact returns the digest of all fields.
func (r *Request) Exact() Sum {
	return r.sum(r.Query, r.Others)
}

// Similar returns the digest without the query and the other headers, which some callers change from attempt to attempt.
func (r *Request) Similar() Sum {
	return r.sum("", "")
}

func (r *Request) sum(query, others string) Sum {
	h := sha256.New()
	var size [8]byte
	add := func(field []byte) {
		// The length keeps fields apart.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	for _, field := range []string{r.Service, r.Method, r.Host, r.Path, query, r.Prompt, r.Credentials, others} {
		add([]byte(field))
	}
	add(r.Body)
	return Sum(h.Sum(nil)[:sumBytes])
}
