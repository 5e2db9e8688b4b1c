package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// sumBytes is the size of a Sum: 128 bits of a cryptographic hash, so that nobody can make a request that collides with
// one of another caller.
const sumBytes = 16

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

// Request holds all that makes two requests the same. What differs between attempts, such as ids, times and the entry, isn't
// part of it.
type Request struct {
	Service string // The service that runs it; another one may take what this one can't.
	Caller  string // Names the caller.
	Method  string
	Host    string
	Target  string // Path and query.
	Prompt  string // The model and the parts of the prompt; empty without one.
	Body    []byte
}

// Sum returns the digest of the request.
func (r *Request) Sum() Sum {
	h := sha256.New()
	var size [8]byte
	add := func(field []byte) {
		// The length keeps fields apart.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	for _, field := range []string{r.Service, r.Caller, r.Method, r.Host, r.Target, r.Prompt} {
		add([]byte(field))
	}
	add(r.Body)
	return Sum(h.Sum(nil)[:sumBytes])
}
