package gate

import (
	"context"
	"slices"
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/platform"
)

const (
	blocksKey = "blocked" // Store key of the blocked parts of prompts.
	// storedReadPause is the minimum time between two reads of that key and of the held requests after crashes.
	storedReadPause = time.Second
)

// writtenBlocks is what the leader knows of the blocks in the store.
type writtenBlocks struct {
	sets [][]blame.Part
	era  int64
}

// readBlocks adds the blocks in the store to those of this entry and returns the item.
func (g *Gate) readBlocks(ctx context.Context) (platform.Item, error) {
	item, err := g.store.Get(ctx, blocksKey)
	if err != nil {
		return platform.Item{}, err
	}
	blocks, err := blame.ParseBlocks(item.Value)
	if err != nil {
		g.log.Error("stored blocks not decoded", "revision", item.Revision, "err", err) // The leader replaces them.
	}
	added, _ := g.blame.Merge(&blame.Report{Blocks: blocks})
	g.logBlocks(added, "store")
	return item, nil
}

// readStoredAfterCrash reads the blocks and holds in the store, in case no other entry can reach this one, unless that was done
// within storedReadPause.
func (g *Gate) readStoredAfterCrash() {
	g.mu.Lock()
	isDue := time.Since(g.storedRead) >= storedReadPause
	if isDue {
		g.storedRead = time.Now()
	}
	g.mu.Unlock()
	if !isDue {
		return
	}
	if err := g.readStored(context.Background()); err != nil {
		g.log.Info("blocks and holds not read", "err", err)
	}
}

// readStored reads the blocks and holds in the store.
func (g *Gate) readStored(ctx context.Context) error {
	if _, err := g.readBlocks(ctx); err != nil {
		return err
	}
	_, _, err := g.readHolds(ctx)
	return err
}

// writeBlocks writes the blocks in force to the store if those there differ, so that they outlast a loss of all entries.
func (l *election) writeBlocks(ctx context.Context) {
	if l.hasWritten(l.gate.blame.Blocks()) {
		return
	}
	item, err := l.gate.readBlocks(ctx)
	if err != nil {
		l.gate.log.Warn("blocks not written", "err", err)
		return
	}
	blocks := l.gate.blame.Blocks()
	put := platform.Put{Key: blocksKey, Value: blame.EncodeBlocks(blocks)}
	era := l.gate.store.Era()
	if _, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: blocksKey, Revision: item.Revision}}, []platform.Put{put}, nil); err != nil {
		l.gate.log.Warn("blocks not written", "err", err)
		return
	}
	l.written = writtenBlocks{era: era}
	for _, b := range blocks {
		l.written.sets = append(l.written.sets, b.Parts)
	}
	l.gate.log.Info("blocks written", "blocks", len(blocks))
}

// hasWritten reports whether this leader has written the same blocks in the present era of the store.
func (l *election) hasWritten(blocks []blame.Block) bool {
	if len(blocks) > 0 && l.written.era != l.gate.store.Era() {
		return false
	}
	return slices.EqualFunc(blocks, l.written.sets, func(b blame.Block, set []blame.Part) bool { return slices.Equal(b.Parts, set) })
}
