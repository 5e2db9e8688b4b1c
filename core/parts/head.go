package parts

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/conf"
)

const (
	callerParts    = 64 // Callers are spread over this many parts by name.
	upstreamParts  = 32 // Upstreams are spread over this many parts by name.
	maxSubmissions = 32 // Submissions whose outcome can be looked up.
	baseName       = "base"
)

// Head is the stored index of a configuration revision: its recent submissions and its parts.
type Head struct {
	Revision int64        `json:"revision"`
	Recent   []Submission `json:"recent"` // The newest submission first.
	Parts    []Part       `json:"parts"`
	Stale    []string     `json:"stale,omitempty"`  // Keys that the previous revision used and this one doesn't.
	Changes  []Change     `json:"former,omitempty"` // Membership changes of plain services, the oldest first.
}

// Submission is an accepted submission of a configuration and the revision that it created.
type Submission struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
}

// Part refers to a part of the document; the content under Key is written once and never modified.
type Part struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Corrupt reports a stored head or part that can't be decoded.
type Corrupt struct {
	Cause error
}

// Error returns a message with the cause.
func (e *Corrupt) Error() string {
	return "stored configuration: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *Corrupt) Unwrap() error {
	return e.Cause
}

// Parse decodes a stored head; empty data gives an empty head. Its error is a *Corrupt.
func Parse(data []byte) (*Head, error) {
	var h Head
	if len(data) == 0 {
		return &h, nil
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, &Corrupt{Cause: err}
	}
	return &h, nil
}

// Encode returns the JSON encoding of h.
func (h *Head) Encode() []byte {
	return encode(h)
}

// Find returns the revision that the submission with the given id created, or 0 if it is not known.
func (h *Head) Find(id string) int64 {
	for _, s := range h.Recent {
		if s.ID == id {
			return s.Revision
		}
	}
	return 0
}

// Next returns the head for doc as the revision after h, and the contents of the new parts by key.
// Unchanged parts keep their keys.
func (h *Head) Next(doc *conf.Document, id string) (*Head, map[string][]byte) {
	next := &Head{Revision: h.Revision + 1}
	next.Recent = append([]Submission{{ID: id, Revision: next.Revision}}, h.Recent...)
	next.Recent = next.Recent[:min(len(next.Recent), maxSubmissions)]
	old := make(map[string]Part, len(h.Parts))
	for _, p := range h.Parts {
		old[p.Name] = p
	}
	added := make(map[string][]byte)
	for _, content := range split(doc) {
		data := encode(content.doc)
		p := Part{Name: content.name, Hash: hash(data)}
		p.Key = id + "-" + p.Name + "-" + p.Hash
		if unchanged, ok := old[p.Name]; ok && unchanged.Hash == p.Hash {
			p.Key = unchanged.Key
			delete(old, p.Name)
		} else {
			added[p.Key] = data
		}
		next.Parts = append(next.Parts, p)
	}
	for _, p := range old {
		next.Stale = append(next.Stale, p.Key)
	}
	return next, added
}

// Join assembles the document from the contents of its parts by key; its error is a *Corrupt.
func (h *Head) Join(contents map[string][]byte) (*conf.Document, error) {
	doc := &conf.Document{}
	for _, p := range h.Parts {
		var content conf.Document
		if err := json.Unmarshal(contents[p.Key], &content); err != nil {
			return nil, &Corrupt{Cause: err}
		}
		doc.Targets = append(doc.Targets, content.Targets...)
		doc.Classes = append(doc.Classes, content.Classes...)
		doc.Callers = append(doc.Callers, content.Callers...)
		doc.Upstreams = append(doc.Upstreams, content.Upstreams...)
	}
	return doc, nil
}

// partContent is the content of a named part.
type partContent struct {
	name string
	doc  *conf.Document
}

// split divides doc into parts; callers and upstreams are assigned to parts by the hash of their names.
func split(doc *conf.Document) []partContent {
	contents := []partContent{{baseName, &conf.Document{Targets: doc.Targets, Classes: doc.Classes}}}
	callers := make([]conf.Document, callerParts)
	for _, c := range doc.Callers {
		part := &callers[xxhash.Sum64String(c.Name)%callerParts]
		part.Callers = append(part.Callers, c)
	}
	upstreams := make([]conf.Document, upstreamParts)
	for _, u := range doc.Upstreams {
		part := &upstreams[xxhash.Sum64String(u.Name)%upstreamParts]
		part.Upstreams = append(part.Upstreams, u)
	}
	for i := range callers {
		if len(callers[i].Callers) > 0 {
			contents = append(contents, partContent{"c" + strconv.Itoa(i), &callers[i]})
		}
	}
	for i := range upstreams {
		if len(upstreams[i].Upstreams) > 0 {
			contents = append(contents, partContent{"u" + strconv.Itoa(i), &upstreams[i]})
		}
	}
	return contents
}

func hash(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// encode returns the JSON encoding of v; it panics if v has a type that can't be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
