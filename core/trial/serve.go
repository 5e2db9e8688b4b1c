package trial

import (
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/model"
	"pimentoseam/core/pick"
	"pimentoseam/core/trace"
)

// served is what became of one request.
type served string

const (
	good    served = "good"    // whole and within its deadlines
	late    served = "late"    // whole, but not within its deadlines
	refused served = "refused" // did not run
	failed  served = "failed"  // broke off
)

const maxTries = 2

// serve takes one request through the fleet and counts its outcome.
func (t *Trial) serve(r trace.Request) {
	begun := time.Now()
	t.prompt.Add(int64(r.Prompt))
	t.output.Add(int64(r.Output))
	t.budget.Earn()
	tried := make(map[*node]bool)
	outcome := refused
	var first time.Duration
	for len(tried) < maxTries {
		n := t.choose(&r, tried, false)
		if n == nil {
			break
		}
		tried[n] = true
		outcome, first = t.attempt(n, &r, begun)
		if outcome != refused || !t.retries || !t.budget.Spend() {
			break
		}
	}
	t.result.add(&r, outcome, first, time.Since(begun))
}

// choose returns an engine for a prompt or, if output is set, for the output after it.
func (t *Trial) choose(r *trace.Request, tried map[*node]bool, output bool) *node {
	var nodes []*node
	var candidates []pick.Candidate
	for _, n := range t.nodes {
		if tried[n] || n.isLeaving() {
			continue
		}
		nodes = append(nodes, n)
		candidates = append(candidates, n.candidate(r.Class.Priority))
	}
	prefix := ""
	if t.affinity {
		prefix = r.Prefix
	}
	i := -1
	if output {
		i = t.chooser.ChooseDecode(candidates)
	} else {
		i = t.chooser.ChoosePrefill(prefix, candidates)
	}
	if i < 0 {
		return nil
	}
	nodes[i].local.Add(1)
	return nodes[i]
}

// attempt runs the request from its prompt on, at n or at n and a decode engine.
func (t *Trial) attempt(n *node, r *trace.Request, begun time.Time) (served, time.Duration) {
	time.Sleep(hop)
	mixed := n.planned() == model.Mixed
	output := r.Output
	if !mixed {
		output = 1
	}
	job := model.NewJob(r.Class.Priority, r.Prompt, output)
	job.Prefix, job.Shared = r.Prefix, r.Shared
	ticket, ok := n.admit(r, false, begun.Add(r.Class.First))
	if !ok {
		return refused, 0
	}
	n.engine.Submit(job)
	select {
	case <-job.First:
	case <-job.Failed:
		n.queue.Release(ticket)
		return failed, 0
	}
	n.queue.FinishPrefill(ticket)
	first := time.Since(begun) + hop
	outcome := finish(n, ticket, job)
	if outcome == good && !mixed && r.Output > 1 {
		outcome = t.decode(r, begun)
	}
	if outcome == good && (first > r.Class.First || time.Since(begun)+hop > r.Class.Whole) {
		return late, first
	}
	return outcome, first
}

// finish waits for the job's last token and frees its slot.
func finish(n *node, ticket *admit.Ticket, job *model.Job) served {
	defer n.queue.Release(ticket)
	select {
	case <-job.Done:
		return good
	case <-job.Failed:
		return failed
	}
}

// decode moves the KV cache to a decode engine and generates the output there.
func (t *Trial) decode(r *trace.Request, begun time.Time) served {
	time.Sleep(hop + time.Duration(r.Prompt)*t.eq.Transfer)
	tried := make(map[*node]bool)
	for range maxTries {
		n := t.choose(r, tried, true)
		if n == nil {
			return failed
		}
		tried[n] = true
		ticket, ok := n.admit(r, true, begun.Add(r.Class.Whole))
		if !ok {
			continue
		}
		job := model.NewJob(r.Class.Priority, 0, r.Output-1)
		n.queue.FinishPrefill(ticket)
		n.engine.Submit(job)
		return finish(n, ticket, job)
	}
	return failed
}

// admit waits for a slot; it reports false if the request was refused.
func (n *node) admit(r *trace.Request, begun bool, first time.Time) (*admit.Ticket, bool) {
	prompt := r.Prompt
	if begun {
		prompt = 0
	}
	verdict := make(chan *admit.Refused, 1)
	ticket := &admit.Ticket{
		Caller: r.Caller, Priority: r.Class.Priority, Deadline: first,
		Prompt: prompt, Output: r.Output, Prefilled: begun, Notify: func(v *admit.Refused) { verdict <- v },
	}
	if n.queue.Offer(ticket) != nil {
		return nil, false
	}
	return ticket, <-verdict == nil
}
