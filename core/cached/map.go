package cached

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/call"
)

const (
	// maxPrefixes bounds the memory to about 4 MB (100 bytes and a few engines for each prefix).
	maxPrefixes = 16384
	// retention is how long a prefix counts as cached after its last use. Engines evict the least recently
	// used prefixes, and their eviction events arrive late or never.
	retention = 8 * time.Second
	// announceInterval is the minimum interval between announcements of a prefix to other entries, by which they
	// may drop it early.
	announceInterval = 2 * time.Second
)

// Prefix is the hash of a model and the leading parts of a prompt.
type Prefix uint64

// Map holds the engines that have each prefix in their KV cache, or will have it once they have processed it.
type Map struct {
	mu       sync.Mutex
	prefixes map[Prefix]map[string]time.Time // Last use by engine; in the future while it is processed.
}

// New returns an empty Map.
func New() *Map {
	return &Map{prefixes: make(map[Prefix]map[string]time.Time)}
}

// Prefixes returns the prefixes of a prompt: for each part, the one that ends with it.
func Prefixes(model string, parts []call.Part) []Prefix {
	prefixes := make([]Prefix, len(parts))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	for i, p := range parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(p.ID)
		prefixes[i] = Prefix(d.Sum64())
	}
	return prefixes
}

// Record stores that an engine has prefixes cached, or will have them cached after a delay, once it has processed them.
// It returns those that should be announced to other entries.
func (m *Map) Record(engine string, prefixes []Prefix, delay time.Duration) []Prefix {
	var announce []Prefix
	cachedAt := time.Now().Add(delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range prefixes {
		if m.prefixes[p] == nil {
			m.evict()
			m.prefixes[p] = make(map[string]time.Time)
		}
		// A prefix that is cached already stays so while the engine processes it again.
		old, ok := m.prefixes[p][engine]
		if delay > 0 && ok && !old.After(cachedAt) && time.Since(old) < retention {
			continue
		}
		m.prefixes[p][engine] = cachedAt
		if !ok || old.After(cachedAt) || cachedAt.Sub(old) > announceInterval {
			announce = append(announce, p)
		}
	}
	return announce
}

// evict removes random prefixes until there is space for one more.
func (m *Map) evict() {
	for p := range m.prefixes {
		if len(m.prefixes) < maxPrefixes {
			return
		}
		delete(m.prefixes, p)
	}
}

// Lookup returns the number of leading prompt tokens that each engine has cached, and the number that it will
// have cached once it has processed all prompts recorded for it.
func (m *Map) Lookup(prefixes []Prefix, parts []call.Part) (cached, cachedAfterBacklog map[string]int) {
	now := time.Now()
	cached, cachedAfterBacklog = make(map[string]int), make(map[string]int)
	m.mu.Lock()
	defer m.mu.Unlock()
	tokens := 0 // Of the parts before the present one.
	for i, p := range prefixes {
		for engine, usedAt := range m.prefixes[p] {
			if now.Sub(usedAt) >= retention {
				continue
			}
			if cachedAfterBacklog[engine] == tokens {
				cachedAfterBacklog[engine] = tokens + parts[i].Tokens
			}
			if cached[engine] == tokens && !usedAt.After(now) {
				cached[engine] = tokens + parts[i].Tokens
			}
		}
		tokens += parts[i].Tokens
	}
	return cached, cachedAfterBacklog
}

// Remove removes the prefixes of an engine, for example after its restart.
func (m *Map) Remove(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, engines := range m.prefixes {
		delete(engines, engine)
		if len(engines) == 0 {
			delete(m.prefixes, p)
		}
	}
}
