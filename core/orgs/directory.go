package orgs

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
	"sort"
	"strings"
)

const (
	// secretBytes is the length of the random key of the digests, the security level of SHA-256.
	secretBytes = 32
	// usualKeyBytes is the length of API keys up to which computing a digest allocates nothing.
	usualKeyBytes = 96
	// fingerprintBytes is the length of a fingerprint. It tells apart the few keys of an investigation and is too short
	// to identify one of many.
	fingerprintBytes = 4
	// maxConflicts limits the conflicts that a Directory names, which are logged.
	maxConflicts = 20
)

// secret keys the digests, so that neither the time of a lookup nor a fingerprint says anything about a key.
var secret = newSecret()

func newSecret() [secretBytes]byte {
	var s [secretBytes]byte
	_, _ = rand.Read(s[:]) // It never fails.
	return s
}

// Organisation is an organisation with its API keys.
type Organisation struct {
	Name        string
	Keys        []string // Nil in results of Find.
	Priority    int      // Takes precedence over that of routes if HasPriority is set; 0 is the most urgent.
	HasPriority bool
}

// PriorityOr returns the priority of the organisation's requests to a route with the given priority.
func (o *Organisation) PriorityOr(route int) int {
	if o.HasPriority {
		return o.Priority
	}
	return route
}

// Conflict reports a key that two organisations have.
type Conflict struct {
	Holder      string // The first organisation, which holds the key.
	Other       string
	Fingerprint string
}

// Directory is an immutable index of organisations by API key.
type Directory struct {
	organisations []Organisation
	entries       []entry // Sorted by digest.
	mostUrgent    int     // Of the priorities of organisations.
	usesRoute     bool    // An organisation has no priority, so that those of routes apply.
	conflicts     []Conflict
	numConflicts  int
	numIgnored    int
}

// entry is an API key's digest and the index of the organisation that holds the key.
type entry struct {
	digest       [sha256.Size]byte
	organisation int32
}

// New returns the Directory of a list of organisations. Where most organisations have the same priority, it is dropped: their
// requests are then in the order of the routes' priorities, which would be lost otherwise. The first one that has a key holds it. Empty keys, and all keys of
// organisations without a name, are ignored.
func New(list []Organisation) *Directory {
	n := 0
	for i := range list {
		n += len(list[i].Keys)
	}
	usual, hasUsual := usualPriority(list)
	d := &Directory{organisations: make([]Organisation, 0, len(list)), entries: make([]entry, 0, n), mostUrgent: math.MaxInt}
	for i, o := range list {
		for _, key := range o.Keys {
			if key = trim(key); key == "" || !isValidName(o.Name) {
				d.numIgnored++
				continue
			}
			d.entries = append(d.entries, entry{digest: digest(key), organisation: int32(i)})
		}
		if hasUsual && o.HasPriority && o.Priority == usual {
			o.HasPriority = false
		}
		if o.HasPriority {
			d.mostUrgent = min(d.mostUrgent, o.Priority)
		}
		d.usesRoute = d.usesRoute || !o.HasPriority
		o.Keys = nil
		d.organisations = append(d.organisations, o)
	}
	slices.SortFunc(d.entries, func(a, b entry) int {
		return cmp.Or(bytes.Compare(a.digest[:], b.digest[:]), cmp.Compare(a.organisation, b.organisation))
	})
	unique := d.entries[:0]
	for _, e := range d.entries {
		if n := len(unique); n > 0 && unique[n-1].digest == e.digest {
			d.recordConflict(unique[n-1], e)
			continue
		}
		unique = append(unique, e)
	}
	d.entries = unique
	return d
}

// usualPriority returns the priority that most organisations have, and false if fewer than half of them have the same.
func usualPriority(list []Organisation) (int, bool) {
	counts := make(map[int]int)
	for _, o := range list {
		if o.HasPriority {
			counts[o.Priority]++
		}
	}
	for priority, n := range counts {
		if 2*n > len(list) {
			return priority, true
		}
	}
	return 0, false
}

// recordConflict records that two organisations have a key. An organisation that states a key twice has no conflict.
func (d *Directory) recordConflict(kept, next entry) {
	holder, other := d.organisations[kept.organisation].Name, d.organisations[next.organisation].Name
	if holder == other {
		return
	}
	d.numConflicts++
	if len(d.conflicts) < maxConflicts {
		d.conflicts = append(d.conflicts, Conflict{Holder: holder, Other: other, Fingerprint: fingerprint(kept.digest)})
	}
}

// Find returns the organisation that holds a key, or nil. Spaces around the key don't count: a header can't carry them.
func (d *Directory) Find(key string) *Organisation {
	key = trim(key)
	if key == "" || len(d.entries) == 0 {
		return nil
	}
	sum := digest(key)
	prefix := binary.BigEndian.Uint64(sum[:])
	i := sort.Search(len(d.entries), func(i int) bool { return binary.BigEndian.Uint64(d.entries[i].digest[:]) >= prefix })
	found := int32(-1)
	for ; i < len(d.entries) && binary.BigEndian.Uint64(d.entries[i].digest[:]) == prefix; i++ {
		if subtle.ConstantTimeCompare(d.entries[i].digest[:], sum[:]) == 1 {
			found = d.entries[i].organisation
		}
	}
	if found < 0 {
		return nil
	}
	return &d.organisations[found]
}

// MostUrgent returns the most urgent priority of requests of organisations to a route with the given priority, math.MaxInt if
// there are no organisations.
func (d *Directory) MostUrgent(route int) int {
	if d.usesRoute {
		return min(route, d.mostUrgent)
	}
	return d.mostUrgent
}

// Conflicts returns the number of keys that an organisation has although another one holds them, and the first of them.
func (d *Directory) Conflicts() (int, []Conflict) {
	return d.numConflicts, d.conflicts
}

// IsEmpty reports whether there are no organisations.
func (d *Directory) IsEmpty() bool {
	return len(d.organisations) == 0
}

// Len returns the number of organisations and of keys, and the number of keys that were ignored.
func (d *Directory) Len() (organisations, keys, ignored int) {
	return len(d.organisations), len(d.entries), d.numIgnored
}

// Fingerprint returns a short digest of a key, which identifies it in the log of this process.
func Fingerprint(key string) string {
	return fingerprint(digest(trim(key)))
}

func fingerprint(sum [sha256.Size]byte) string {
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// digest returns the keyed digest of an API key. SHA-256 of secret and key is enough here, since no complete digest leaves the
// process and it is never extended.
func digest(key string) [sha256.Size]byte {
	var buf [secretBytes + usualKeyBytes]byte
	return sha256.Sum256(append(append(buf[:0], secret[:]...), key...))
}

// trim removes the spaces around a key that a header doesn't carry.
func trim(key string) string {
	return strings.Trim(key, " \t")
}

// isValidName reports whether a header can carry the name of an organisation.
func isValidName(name string) bool {
	return trim(name) != "" && !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}
