package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
	"pimentoseam/core/report"
	"pimentoseam/io/proc"
	"pimentoseam/io/server"
	"pimentoseam/io/store"
)

const (
	maxReadBacks     = 3 // Maximum number of reads of the store after a write without a response.
	readBackInterval = 300 * time.Millisecond
)

func (e *Entry) submitConfig(w http.ResponseWriter, r *http.Request) {
	data, err := e.admin.ReadBody(r)
	if err != nil {
		server.WriteError(w, asFault(err), "")
		return
	}
	expected, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		server.WriteError(w, invalidRequest("revision is missing"), "")
		return
	}
	id := r.URL.Query().Get("id")
	if id == "" {
		id = newID()
	}
	result := e.submit(r.Context(), data, expected, id)
	server.WriteJSON(w, result.StatusCode(), result)
}

// checkConfig responds with the faults of a document and doesn't submit it.
func (e *Entry) checkConfig(w http.ResponseWriter, r *http.Request) {
	data, err := e.admin.ReadBody(r)
	if err != nil {
		server.WriteError(w, asFault(err), "")
		return
	}
	faults := []string{}
	if _, err := conf.Parse(data); err != nil {
		faults = faultsOf(err)
	}
	server.WriteJSON(w, http.StatusOK, faults)
}

// submit validates a document and stores it if the revision in the store is the expected one.
func (e *Entry) submit(ctx context.Context, body []byte, expected int64, id string) *report.Result {
	doc, err := conf.Parse(body)
	if err != nil {
		return &report.Result{ID: id, Outcome: report.Invalid, Faults: faultsOf(err)}
	}
	if !submissionIDPattern.MatchString(id) {
		return &report.Result{ID: id, Outcome: report.Invalid, Faults: []string{"id: 1 to 64 of a-z, A-Z, 0-9, . _ and -"}}
	}
	item, err := e.store.Get(ctx, configKey)
	if err != nil {
		return &report.Result{ID: id, Outcome: report.Unavailable}
	}
	old, err := parts.Parse(item.Value)
	if err != nil {
		return &report.Result{ID: id, Outcome: report.Unavailable}
	}
	if revision := old.Find(id); revision != 0 {
		return &report.Result{ID: id, Outcome: report.Accepted, Revision: revision}
	}
	if old.Revision < max(expected, e.view.Load().revision) {
		// A stale read, from before a revision that is known to be accepted, proves no conflict.
		return &report.Result{ID: id, Outcome: report.Unavailable}
	}
	if old.Revision != expected {
		return &report.Result{ID: id, Outcome: report.Conflict, Revision: old.Revision}
	}
	current, ok := e.storedDocument(ctx, old)
	if !ok {
		return &report.Result{ID: id, Outcome: report.Unavailable}
	}
	next, newParts := old.Next(doc, id)
	next.RecordChanges(old, current, doc, time.Now().Add(maxPropagation+2*maxClockSkew))
	if !e.writeParts(ctx, newParts) {
		return &report.Result{ID: id, Outcome: report.Unavailable}
	}
	result := e.swapHead(ctx, next, item.Revision, id, newParts)
	switch result.Outcome {
	case report.Accepted:
		e.deleteParts(old.Stale)
	case report.Conflict:
		e.deleteParts(slices.Collect(maps.Keys(newParts)))
	}
	return result
}

// storedDocument returns the stored document with the given head.
func (e *Entry) storedDocument(ctx context.Context, head *parts.Head) (*conf.Document, bool) {
	contents, ok := collectParts(ctx, head, e.view.Load().parts, e.fetchStoredPart)
	if !ok {
		return nil, false
	}
	doc, err := head.Join(contents)
	if err != nil {
		e.log.Error("can't decode the stored configuration", "revision", head.Revision, "err", err)
		return nil, false
	}
	return doc, true
}

// submissionIDPattern matches valid submission ids. An id is part of the store keys of its parts.
var submissionIDPattern = regexp.MustCompile(`^[a-zA-Z0-9._-]{1,64}$`)

// writeParts stores new parts. A conflict means that an earlier call of the same submission wrote the part.
func (e *Entry) writeParts(ctx context.Context, newParts map[string][]byte) bool {
	for key, data := range newParts {
		_, err := e.store.Swap(ctx, partPrefix+key, data, 0, "")
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return false
		}
	}
	return true
}

// deleteParts removes parts that no revision refers to.
func (e *Entry) deleteParts(keys []string) {
	for _, key := range keys {
		if err := e.store.Delete(context.Background(), partPrefix+key); err != nil {
			e.log.Warn("can't delete a stale configuration part", "key", key, "err", err)
		}
	}
}

func faultsOf(err error) []string {
	var bad *conf.Invalid
	if errors.As(err, &bad) {
		return bad.Faults
	}
	return []string{err.Error()}
}

// swapHead replaces the stored head if its revision in the store is still storeRevision.
func (e *Entry) swapHead(ctx context.Context, next *parts.Head, storeRevision int64, id string, newParts map[string][]byte) *report.Result {
	value := next.Encode()
	_, err := e.store.Swap(ctx, configKey, value, storeRevision, "")
	var conflict *store.ConflictError
	var noResponse *store.NoResponseError
	switch {
	case err == nil:
		written := func(_ context.Context, key string) ([]byte, error) { return newParts[key], nil }
		e.apply(ctx, value, written, "submit")
		e.events.Add("submit", "", id, "revision "+itoa(next.Revision))
		return &report.Result{ID: id, Outcome: report.Accepted, Revision: next.Revision}
	case errors.As(err, &conflict):
		return e.lookUpSubmission(ctx, id, report.Conflict)
	case errors.As(err, &noResponse):
		return e.readBack(ctx, id)
	}
	return &report.Result{ID: id, Outcome: report.Unavailable}
}

// readBack finds out whether a write without a response took effect. That the submission isn't stored proves
// nothing, since the write may still be delayed.
func (e *Entry) readBack(ctx context.Context, id string) *report.Result {
	for range maxReadBacks {
		if found := e.lookUpSubmission(ctx, id, report.Unknown); found.Outcome == report.Accepted {
			return found
		}
		proc.Sleep(ctx, readBackInterval)
	}
	return &report.Result{ID: id, Outcome: report.Unknown}
}

// lookUpSubmission reads the outcome of a submission; notFound is the outcome if the store does not list it.
func (e *Entry) lookUpSubmission(ctx context.Context, id string, notFound report.Outcome) *report.Result {
	item, err := e.store.Get(ctx, configKey)
	if err != nil {
		return &report.Result{ID: id, Outcome: report.Unknown}
	}
	head, err := parts.Parse(item.Value)
	if err != nil {
		return &report.Result{ID: id, Outcome: report.Unknown}
	}
	if revision := head.Find(id); revision != 0 {
		return &report.Result{ID: id, Outcome: report.Accepted, Revision: revision}
	}
	return &report.Result{ID: id, Outcome: notFound, Revision: head.Revision}
}

func (e *Entry) showSubmission(w http.ResponseWriter, r *http.Request) {
	result := e.lookUpSubmission(r.Context(), r.PathValue("id"), report.Unknown)
	server.WriteJSON(w, http.StatusOK, result)
}
