package agent

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/dedup"
	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
	"pimentoseam/io/limit"
)

const maxStoredAnswer = 1 << 20 // bytes

// executeOnce runs a call that must run at most once, or answers it from the recorded state of its key.
func (k *call) executeOnce() {
	table := k.agent.table
	if k.run.Tombstone {
		table.Tombstone(k.run.Key, k.run.Minted, k.predecessorStoppedAt())
	}
	state := table.Begin(k.run.Key, k.run.Minted, fingerprint(k.run))
	if state == dedup.Running {
		state = k.awaitRunning()
	}
	switch state {
	case dedup.Fresh:
		k.runOnce()
	case dedup.Done:
		_, answer := table.Lookup(k.run.Key)
		k.replay(answer)
	case dedup.Tombstoned:
		k.outbox.finish(&frame.End{Kind: fault.NotRun, Text: "the key has a tombstone here", SafeToRetry: true})
	case dedup.Mismatch:
		k.fail(fault.Invalid, "the key was used for another request", 0)
	case dedup.Future:
		k.fail(fault.Invalid, "the key's time is in the future", 0)
	case dedup.Unknown, dedup.Running:
		k.fail(fault.Unknown, "the request may have run", 0)
	}
}

// predecessorStoppedAt returns when the previous process of this agent began to reject new keys, or zero if that is
// not known.
func (k *call) predecessorStoppedAt() time.Time {
	if !k.run.NextStart.Equal(k.agent.startedAt) {
		return time.Time{}
	}
	return k.run.StoppedAt
}

// awaitRunning waits for the running request with the same key and returns the key's state after it.
func (k *call) awaitRunning() dedup.State {
	done := k.agent.table.Ended(k.run.Key)
	if done != nil {
		select {
		case <-done:
		case <-k.ctx.Done():
			return dedup.Unknown
		}
	}
	return k.agent.table.Begin(k.run.Key, k.run.Minted, fingerprint(k.run))
}

// fingerprint returns a hash by which a different request with the same key is detected.
func fingerprint(run *frame.Run) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(run.Method + " " + run.Path + "\n")
	_, _ = d.Write(run.Body)
	return d.Sum64()
}

// runOnce sends the request to the upstream and records the outcome under its key.
func (k *call) runOnce() {
	table := k.agent.table
	if k.agent.isLeaving.Load() {
		table.Reject(k.run.Key)
		k.outbox.finish(&frame.End{Kind: fault.NotRun, Text: "the upstream is stopping", SafeToRetry: true})
		return
	}
	ticket, ok := k.admit()
	if !ok {
		table.Release(k.run.Key)
		return
	}
	defer k.agent.queue.Release(ticket)
	k.agent.events.Add("sent", k.run.ID, k.agent.settings.Name, k.run.Key)
	sentAt := time.Now()
	answer, err := k.agent.client.Do(k.ctx, k.run)
	k.recordHealth(answer, err, sentAt)
	if err != nil {
		table.MarkUnknown(k.run.Key)
		k.failAfterCrash(fault.Unknown, err.Error(), 0, k.breakage())
		return
	}
	defer func() { _ = answer.Body.Close() }()
	k.storeAnswer(answer)
}

// storeAnswer reads the whole answer, so that it can be sent again for the same key.
func (k *call) storeAnswer(answer *http.Response) {
	body, err := limit.ReadAll(answer.Body, maxStoredAnswer)
	if err != nil || k.agent.isCut(answer) {
		k.agent.table.MarkUnknown(k.run.Key)
		k.failAfterCrash(fault.Unknown, "the answer ended early or is too large", 0, k.breakage())
		return
	}
	stored := dedup.Answer{Status: answer.StatusCode, Type: answer.Header.Get("Content-Type"), Body: body}
	k.agent.table.Settle(k.run.Key, stored)
	k.agent.events.Add("answered", k.run.ID, k.agent.settings.Name, k.run.Key)
	k.agent.log.Info("answered", "request", k.run.ID, "attempt", k.run.Attempt, "key", k.run.Key)
	k.replay(stored)
}

// replay writes a stored answer to the outbox.
func (k *call) replay(answer dedup.Answer) {
	k.outbox.setHead(answer.Status, answer.Type)
	if !k.outbox.write(answer.Body) {
		return
	}
	k.outbox.finish(&frame.End{})
}
