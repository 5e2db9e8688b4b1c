package trial

import (
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/model"
	"pimentoseam/core/pick"
	"pimentoseam/core/trace"
)

// requestOutcome is the outcome of one request.
type requestOutcome string

const (
	good    requestOutcome = "good"    // complete and within its deadlines
	late    requestOutcome = "late"    // complete, but after a deadline
	refused requestOutcome = "refused" // did not run
	failed  requestOutcome = "failed"  // the engine failed, or no engine accepted the output
)

const maxAttempts = 2

// serve simulates one request and records its outcome.
func (t *Trial) serve(r trace.Request) {
	start := time.Now()
	t.promptTokens.Add(int64(r.PromptTokens))
	t.outputTokens.Add(int64(r.OutputTokens))
	t.retryBudget.Earn()
	attempted := make(map[*node]bool)
	outcome := refused
	var first time.Duration
	for len(attempted) < maxAttempts {
		n := t.choose(&r, attempted, false)
		if n == nil {
			break
		}
		attempted[n] = true
		outcome, first = t.attempt(n, &r, start)
		if outcome != refused || !t.hasRetries || !t.retryBudget.Spend() {
			break
		}
	}
	t.result.record(&r, outcome, first, time.Since(start))
}

// choose selects an engine for the prompt or, if isDecode is set, for decoding; it returns nil if none is left.
func (t *Trial) choose(r *trace.Request, attempted map[*node]bool, isDecode bool) *node {
	var nodes []*node
	var candidates []pick.Candidate
	for _, n := range t.nodes {
		if attempted[n] || n.isLeaving() {
			continue
		}
		nodes = append(nodes, n)
		candidates = append(candidates, n.candidate(r.Class.Priority))
	}
	prefix := ""
	if t.hasAffinity {
		prefix = r.Prefix
	}
	i := -1
	if isDecode {
		i = t.chooser.ChooseDecode(candidates)
	} else {
		i = t.chooser.ChoosePrefill(prefix, candidates)
	}
	if i < 0 {
		return nil
	}
	nodes[i].sent.Add(1)
	return nodes[i]
}

// attempt runs the request at n; unless n is mixed, a decode engine generates the output.
func (t *Trial) attempt(n *node, r *trace.Request, start time.Time) (requestOutcome, time.Duration) {
	time.Sleep(hopLatency)
	mixed := n.plannedRole() == model.Mixed
	output := r.OutputTokens
	if !mixed {
		output = 1
	}
	job := model.NewJob(r.Class.Priority, r.PromptTokens, output)
	job.Prefix, job.PrefixTokens = r.Prefix, r.PrefixTokens
	ticket, ok := n.admit(r, false, start.Add(r.Class.FirstToken))
	if !ok {
		return refused, 0
	}
	n.engine.Submit(job)
	select {
	case <-job.FirstToken:
	case <-job.Failed:
		n.queue.Release(ticket)
		return failed, 0
	}
	n.queue.FinishPrefill(ticket)
	first := time.Since(start) + hopLatency
	outcome := awaitCompletion(n, ticket, job)
	if outcome == good && !mixed && r.OutputTokens > 1 {
		outcome = t.decode(r, start)
	}
	if outcome == good && (first > r.Class.FirstToken || time.Since(start)+hopLatency > r.Class.Completion) {
		return late, first
	}
	return outcome, first
}

// awaitCompletion waits for the job's last token and frees its slot.
func awaitCompletion(n *node, ticket *admit.Ticket, job *model.Job) requestOutcome {
	defer n.queue.Release(ticket)
	select {
	case <-job.Done:
		return good
	case <-job.Failed:
		return failed
	}
}

// decode transfers the KV cache to a decode engine and generates the output there.
func (t *Trial) decode(r *trace.Request, start time.Time) requestOutcome {
	time.Sleep(hopLatency + time.Duration(r.PromptTokens)*t.params.TransferPerToken)
	attempted := make(map[*node]bool)
	for range maxAttempts {
		n := t.choose(r, attempted, true)
		if n == nil {
			return failed
		}
		attempted[n] = true
		ticket, ok := n.admit(r, true, start.Add(r.Class.Completion))
		if !ok {
			continue
		}
		job := model.NewJob(r.Class.Priority, 0, r.OutputTokens-1)
		n.queue.FinishPrefill(ticket)
		n.engine.Submit(job)
		return awaitCompletion(n, ticket, job)
	}
	return failed
}

// admit waits for a slot and reports whether the request was admitted.
func (n *node) admit(r *trace.Request, isDecode bool, deadline time.Time) (*admit.Ticket, bool) {
	prompt := r.PromptTokens
	if isDecode {
		prompt = 0
	}
	verdict := make(chan *admit.Refused, 1)
	ticket := &admit.Ticket{
		Caller: r.Caller, Priority: r.Class.Priority, Deadline: deadline,
		Prompt: prompt, Output: r.OutputTokens, Prefilled: isDecode, Notify: func(v *admit.Refused) { verdict <- v },
	}
	if n.queue.Offer(ticket) != nil {
		return nil, false
	}
	return ticket, <-verdict == nil
}
