package cached

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/call"
)

const (
	// mostChains bounds the memory; at 100 bytes and a few engines each it is about 4 MB.
	mostChains = 16384
	// keepTime is how long a part is taken to stay cached after its last use; engines drop the
	// least recently used parts, and their events of that come late or never.
	keepTime = 8 * time.Second
	// tellTime is the time in which further uses of a part are no news; it shortens keepTime for others.
	tellTime = 2 * time.Second
)

// Prefix is the hash of the leading parts of a prompt up to one of them.
type Prefix uint64

// Map tells for each chain of parts the engines that have processed it.
type Map struct {
	mu     sync.Mutex
	chains map[Prefix]map[string]time.Time
}

// New returns an empty Map.
func New() *Map {
	return &Map{chains: make(map[Prefix]map[string]time.Time)}
}

// Prefixes returns the chain that ends at each part.
func Prefixes(model string, parts []call.Part) []Prefix {
	chains := make([]Prefix, len(parts))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	for i, p := range parts {
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(p.ID)
		chains[i] = Prefix(d.Sum64())
	}
	return chains
}

// Record records that an engine keeps the chains, or will once it has processed them after a delay.
// It returns those of which others should be told, since the last time was a while ago.
func (m *Map) Record(engine string, chains []Prefix, delay time.Duration) []Prefix {
	var news []Prefix
	when := time.Now().Add(delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range chains {
		if m.chains[c] == nil {
			m.shrink()
			m.chains[c] = make(map[string]time.Time)
		}
		// A chain that the engine keeps already is not taken for one that it has yet to process.
		old, ok := m.chains[c][engine]
		if delay > 0 && ok && !old.After(when) && time.Since(old) < keepTime {
			continue
		}
		m.chains[c][engine] = when
		if !ok || old.After(when) || when.Sub(old) > tellTime {
			news = append(news, c)
		}
	}
	return news
}

// shrink makes room for one more chain.
func (m *Map) shrink() {
	for c := range m.chains {
		if len(m.chains) < mostChains {
			return
		}
		delete(m.chains, c)
	}
}

// Lookup returns for each engine how many tokens of the parts it keeps, and how many it will once it has
// processed what is under way.
func (m *Map) Lookup(chains []Prefix, parts []call.Part) (kept, soon map[string]int) {
	now := time.Now()
	kept, soon = make(map[string]int), make(map[string]int)
	m.mu.Lock()
	defer m.mu.Unlock()
	before := 0
	for i, c := range chains {
		for engine, used := range m.chains[c] {
			if now.Sub(used) >= keepTime {
				continue
			}
			if soon[engine] == before {
				soon[engine] = before + parts[i].Tokens
			}
			if kept[engine] == before && !used.After(now) {
				kept[engine] = before + parts[i].Tokens
			}
		}
		before += parts[i].Tokens
	}
	return kept, soon
}

// Remove drops what is known of an engine, as after its restart.
func (m *Map) Remove(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, engines := range m.chains {
		delete(engines, engine)
		if len(engines) == 0 {
			delete(m.chains, c)
		}
	}
}
