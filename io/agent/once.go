package agent

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/dedup"
	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
)

const maxAnswer = 1 << 20 // bytes of an answer that is kept for repeats

// performOnce runs a call that may not be repeated, or answers from what is remembered of its key.
func (k *call) performOnce() {
	table := k.agent.table
	if k.run.Tombstone {
		table.Tombstone(k.run.Key, k.run.Minted, k.left())
	}
	state := table.Begin(k.run.Key, k.run.Minted, fingerprint(k.run))
	if state == dedup.Running {
		state = k.join()
	}
	switch state {
	case dedup.Fresh:
		k.runOnce()
	case dedup.Done:
		_, answer := table.Lookup(k.run.Key)
		k.replay(answer)
	case dedup.Tombstoned:
		k.out.finish(&frame.End{Kind: fault.NotRun, Text: "the key is barred here", SafeToRetry: true})
	case dedup.Mismatch:
		k.fail(fault.Invalid, "the key was used for another request", 0)
	case dedup.Future:
		k.fail(fault.Invalid, "the key's time is in the future", 0)
	case dedup.Unknown, dedup.Running:
		k.fail(fault.Unknown, "the request may have run", 0)
	}
}

// left returns since when the agent before this one barred unseen keys, or zero if that is not known.
func (k *call) left() time.Time {
	if !k.run.NextStart.Equal(k.agent.begun) {
		return time.Time{}
	}
	return k.run.StoppedAt
}

// join waits for the run of the same key that is in progress.
func (k *call) join() dedup.State {
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

func fingerprint(run *frame.Run) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(run.Method + " " + run.Path + "\n")
	_, _ = d.Write(run.Body)
	return d.Sum64()
}

func (k *call) runOnce() {
	table := k.agent.table
	if k.agent.leaving.Load() {
		table.Reject(k.run.Key)
		k.out.finish(&frame.End{Kind: fault.NotRun, Text: "the upstream is leaving", SafeToRetry: true})
		return
	}
	ticket, ok := k.admit()
	if !ok {
		table.Release(k.run.Key)
		return
	}
	defer k.agent.queue.Release(ticket)
	k.agent.events.Add("sent", k.run.ID, k.agent.set.Name, k.run.Key)
	sent := time.Now()
	answer, err := k.agent.client.Do(k.ctx, k.run)
	k.judge(answer, err, sent)
	if err != nil {
		table.MarkUnknown(k.run.Key)
		k.fail(fault.Unknown, err.Error(), 0)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	k.settle(answer)
}

func (k *call) settle(answer *http.Response) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		k.agent.table.MarkUnknown(k.run.Key)
		k.fail(fault.Unknown, "the answer broke off or is too large", 0)
		return
	}
	kept := dedup.Answer{Status: answer.StatusCode, Type: answer.Header.Get("Content-Type"), Body: body}
	k.agent.table.Settle(k.run.Key, kept)
	k.agent.events.Add("answered", k.run.ID, k.agent.set.Name, k.run.Key)
	k.agent.log.Info("answered", "request", k.run.ID, "attempt", k.run.Attempt, "key", k.run.Key)
	k.replay(kept)
}

func (k *call) replay(answer dedup.Answer) {
	k.out.head(answer.Status, answer.Type)
	if !k.out.write(answer.Body) {
		return
	}
	k.out.finish(&frame.End{})
}
