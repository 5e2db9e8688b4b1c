package gate

import (
	"context"
	"slices"
	"time"

	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/platform"
)

// liftInterval is the time between two looks for holds that an operator has lifted. The command that lifts one says so.
const liftInterval = 5 * time.Second

// writtenHolds is what the leader knows of the holds in the store.
type writtenHolds struct {
	holds  []crash.Hold
	era    int64
	readAt time.Time // When they were last read.
}

// readHolds adds the holds in the store to those of this entry, and clears what an operator has lifted. It returns the item and
// the requests that were lifted.
func (g *Gate) readHolds(ctx context.Context) (platform.Item, []digest.Sum, error) {
	item, err := g.store.Get(ctx, crash.StoreKey)
	if err != nil {
		return platform.Item{}, nil, err
	}
	holds, lifted, err := crash.ParseHolds(item.Value)
	if err != nil {
		g.log.Error("stored holds not decoded", "revision", item.Revision, "err", err) // The leader replaces them.
	}
	added, _ := g.crashes.Merge(&crash.Report{Holds: holds})
	g.logHolds(added, "store")
	for _, d := range lifted {
		if g.crashes.Lift(d) {
			g.log.Warn("hold lifted", "request", d, "revision", item.Revision)
			g.gossip.Trigger()
		}
	}
	return item, lifted, nil
}

// writeHolds writes the holds in force to the store if those there differ, so that they outlast a loss of all entries. While there
// are any, it looks there from time to time for what an operator has lifted.
func (l *election) writeHolds(ctx context.Context) {
	holds := l.gate.crashes.Holds()
	isWritten := l.hasWrittenHolds(holds)
	if isWritten && (len(holds) == 0 || time.Since(l.writtenHolds.readAt) < liftInterval) {
		return
	}
	item, lifted, err := l.gate.readHolds(ctx)
	if err != nil {
		l.gate.log.Warn("holds not written", "err", err)
		return
	}
	l.writtenHolds.readAt = time.Now()
	holds = l.gate.crashes.Holds()
	if len(lifted) == 0 && l.hasWrittenHolds(holds) {
		return
	}
	put := platform.Put{Key: crash.StoreKey, Value: crash.EncodeHolds(holds, nil)}
	era := l.gate.store.Era()
	if _, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: crash.StoreKey, Revision: item.Revision}}, []platform.Put{put}, nil); err != nil {
		l.gate.log.Warn("holds not written", "err", err)
		return
	}
	l.writtenHolds = writtenHolds{holds: holds, era: era, readAt: time.Now()}
	l.gate.log.Info("holds written", "holds", len(holds))
}

// hasWrittenHolds reports whether this leader has written the same holds in the present era of the store.
func (l *election) hasWrittenHolds(holds []crash.Hold) bool {
	if len(holds) > 0 && l.writtenHolds.era != l.gate.store.Era() {
		return false
	}
	return slices.EqualFunc(holds, l.writtenHolds.holds, func(a, b crash.Hold) bool {
		return a.Request == b.Request && a.Strikes == b.Strikes && a.Sure == b.Sure
	})
}
