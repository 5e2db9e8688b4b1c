package duty

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"

	"pimentoseam/core/window"
	"pimentoseam/io/store"
	"pimentoseam/platform"
)

// recordPrefix precedes the window in the store keys of records.
const recordPrefix = "usage/"

func recordKey(w int64) string {
	return recordPrefix + strconv.FormatInt(w, 10)
}

// resume reads the records in the store when the lease has been gained under a new token. It returns false if that is still
// to be done.
func (r *Runner) resume(ctx context.Context, token int64) bool {
	if r.resumed == token {
		return true
	}
	if r.Clock.Now() < r.nextStore {
		return false
	}
	page, err := r.Store.ReadAll(ctx, recordPrefix, false)
	if !r.storeSettled(err) {
		r.Log.Warn("usage records not read", "err", err)
		return false
	}
	slices.SortFunc(page.Items, func(a, b platform.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var found []window.Record
	for _, item := range page.Items {
		if record, ok := r.decode(item); ok {
			found = append(found, record)
		}
	}
	r.queue.Resume(found, r.Clock.True())
	clear(r.counts) // Entries may have handed over counts since.
	r.resumed = token
	r.Log.Info("usage records read", "token", token, "records", len(found))
	return true
}

// decode reads a record from the store.
func (r *Runner) decode(item platform.Item) (window.Record, bool) {
	var record window.Record
	err := json.Unmarshal(item.Value, &record)
	if err != nil || recordKey(record.Window) != item.Key {
		r.Log.Error("usage record not decoded", "key", item.Key, "err", err)
		return window.Record{}, false
	}
	return record, true
}

// record writes the record of the next window to the store. The record is created only if there is none yet and this entry
// still holds the lease, so that at most one is ever made.
func (r *Runner) record(ctx context.Context, token int64) {
	now := r.Clock.Now()
	w, ok := r.queue.ToRecord(r.Clock.True())
	if !ok || now < r.nextStore {
		return
	}
	if r.counts[w] == nil && !r.collect(ctx, w) {
		return
	}
	record := r.queue.NewRecord(w, r.counts[w])
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // names and numbers always encode
	}
	old := r.queue.ToRemove(r.Clock.True())
	remove := make([]string, len(old))
	for i := range old {
		remove[i] = recordKey(old[i])
	}
	conditions := []platform.Condition{{Key: recordKey(w)}, {Key: r.LeadKey, Revision: token}}
	_, items, err := r.Store.Commit(ctx, conditions, []platform.Put{{Key: recordKey(w), Value: value}}, remove)
	if !r.storeSettled(err) {
		r.Log.Warn("usage not recorded", "window", w, "err", err)
		return
	}
	if err == nil {
		r.queue.Removed(old)
		r.confirm(record)
		return
	}
	r.resolve(ctx, token, w, items)
}

// resolve handles a record that wasn't written under a token because one of the conditions didn't hold. items are the keys
// concerned, as far as the store has returned them.
func (r *Runner) resolve(ctx context.Context, token, w int64, items []platform.Item) {
	i := slices.IndexFunc(items, func(item platform.Item) bool { return item.Key == recordKey(w) && item.Revision != 0 })
	item := platform.Item{}
	if i >= 0 {
		item = items[i]
	} else {
		var err error
		if item, err = r.Store.Get(ctx, recordKey(w)); !r.storeSettled(err) {
			return
		}
	}
	if item.Revision == 0 {
		r.Log.Warn("usage not recorded: another entry holds the lease", "window", w)
		r.tenure.LoseToken(token)
		return
	}
	// An earlier attempt of this entry took effect although its response was lost.
	if record, ok := r.decode(item); ok {
		r.confirm(record)
	}
}

// confirm notes a record that is in the store.
func (r *Runner) confirm(record window.Record) {
	r.queue.Recorded(record)
	delete(r.counts, record.Window)
	r.Log.Info("usage recorded", "window", record.Window, "organisations", len(record.Counts))
}

// collect gets the counts of a window from all entries. It returns false if that is to be tried again.
func (r *Runner) collect(ctx context.Context, w int64) bool {
	if r.Clock.Now() < r.nextCollect {
		return false
	}
	counts, complete := r.Collect(ctx, w)
	if !complete && r.Clock.True().Before(r.queue.End(w).Add(patience)) {
		r.nextCollect = r.Clock.Now() + collectInterval
		return false
	}
	if !complete {
		r.Meter.Count("usage incomplete")
		r.Log.Warn("usage collected without all entries", "window", w)
	}
	if counts == nil {
		counts = map[string]int64{}
	}
	r.counts[w] = counts
	return true
}

// storeSettled sets the time of the next call to the store after one with the given error. It returns false if the call
// failed; a conflict isn't a failure.
func (r *Runner) storeSettled(err error) bool {
	conflict := new(store.ConflictError)
	if err == nil || errors.As(err, &conflict) {
		r.nextStore, r.storeWait = 0, 0
		return true
	}
	r.storeWait = min(max(minRetryWait, 2*r.storeWait), maxRetryWait)
	r.nextStore = r.Clock.Now() + r.storeWait
	return false
}
