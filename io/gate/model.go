package gate

import (
	"context"
	"net/http"
	"slices"
	"time"

	"pimentoseam/core/cached"
	"pimentoseam/core/call"
	"pimentoseam/core/curve"
	"pimentoseam/core/member"
	"pimentoseam/core/place"
	"pimentoseam/core/repeat"
	"pimentoseam/core/route"
	"pimentoseam/core/shed"
	"pimentoseam/io/client"
	"pimentoseam/platform"
)

// maxHandleBytes limits an engine's response to a prefill request.
const maxHandleBytes = 64 << 10

// runModel sends the request to the engines of a service until one generates the complete output.
func (x *exchange) runModel(ctx context.Context, service *route.Service) result {
	outcome := notRun
	prefixes := cached.Prefixes(x.call.Model, x.call.Shared())
	x.gate.addPrefillWork(x.service, curve.Prompt{Uncached: x.unsharedTokens(), Cached: x.call.PromptTokens - x.unsharedTokens()})
	for {
		choice, engines, ok := x.chooseEngines(service, prefixes)
		switch {
		case !ok && x.awaitDecode(ctx):
			continue
		case !ok && x.roomAfter > 0 && outcome == notRun:
			return limited
		case !ok:
			return outcome
		}
		if x.account.IsEmpty() && !x.admit(choice) {
			return refused
		}
		if !x.holdPermits(ctx, choice, engines) {
			continue
		}
		x.gate.log.Info("placed", "id", x.call.ID, "read", engineID(choice.Prefill), "make", choice.Decode.ID, "fetch", engineID(choice.FetchFrom),
			"delay", choice.Delay, "work", choice.PrefillTime, "prompt", x.call.PromptTokens, "shared", x.call.PromptTokens-x.unsharedTokens(), "held", reusedTokens(choice), "parts", x.call.PartNames(),
			"priority", x.priority, "stated", x.call.Remaining, "config", x.table.Version, "loads", x.gate.peerState().age())
		outcome = x.execute(ctx, service, choice, engines, prefixes)
		if !x.mayRetry(ctx, outcome) {
			return outcome
		}
	}
}

// awaitDecode waits for a permit at an engine that generates output, if all are at their limits.
func (x *exchange) awaitDecode(ctx context.Context) bool {
	return x.awaitPermit(ctx, x.fullUpstreams(func(u *upstream) bool { return u.info.Load().Role != member.Prefill })) != nil
}

// holdPermits gets the permits of a choice. The one at the engine that generates output comes first, since a prompt would be
// processed in vain without it.
func (x *exchange) holdPermits(ctx context.Context, choice place.Choice, engines map[string]*upstream) bool {
	return x.holdPermit(ctx, engines[choice.Decode.ID]) && (choice.Prefill == nil || x.holdPermit(ctx, engines[choice.Prefill.ID]))
}

// admit applies admission control to a choice. If it returns false, it has sent the refusal to the caller.
func (x *exchange) admit(choice place.Choice) bool {
	remaining := time.Until(x.deadline)
	d := shed.Decide(&shed.Request{
		Delay: choice.Delay, ProcessingTime: choice.PrefillTime, Wait: choice.Wait, Target: x.route.TargetLatency, Patience: x.route.Patience(), Remaining: remaining,
		StatedRemaining: x.call.Remaining, MaxStated: x.maxStatedRemaining, WaitShare: x.room,
	})
	if !d.Admit {
		x.count("refused")
		x.countRefusal()
		x.gate.log.Info("refused", "id", x.call.ID, "route", x.route.Name, "organisation", x.organisation, "room", x.room, "why", d.Reason, "delay", choice.Delay, "work", choice.PrefillTime, "target", x.route.TargetLatency,
			"left", remaining, "stated", x.call.Remaining, "full", x.maxStatedRemaining, "priority", x.priority, "loads", x.gate.peerState().age(), "after", d.RetryAfter)
		setRetryAfter(x.w, d.RetryAfter)
		x.w.WriteHeader(http.StatusServiceUnavailable)
	}
	return d.Admit
}

// unsharedTokens returns the number of prompt tokens outside the parts that other requests may share.
func (x *exchange) unsharedTokens() int {
	unshared := x.call.PromptTokens
	for _, p := range x.call.Shared() {
		unshared -= p.Tokens
	}
	return max(0, unshared)
}

// engineID returns the id of an engine, or "" for nil.
func engineID(e *place.Engine) string {
	if e == nil {
		return ""
	}
	return e.ID
}

// reusedTokens returns how many prompt tokens the choice takes from a KV cache, for the log.
func reusedTokens(choice place.Choice) int {
	if choice.FetchFrom != nil {
		return choice.FetchFrom.Cached
	}
	if choice.Prefill != nil {
		return max(choice.Prefill.Cached, choice.Prefill.CachedAfterBacklog)
	}
	return max(choice.Decode.Cached, choice.Decode.CachedAfterBacklog)
}

// chooseEngines chooses the engines for the request. The returned map holds the upstreams of all candidates by id.
func (x *exchange) chooseEngines(service *route.Service, prefixes []cached.Prefix) (place.Choice, map[string]*upstream, bool) {
	cachedTokens, pendingTokens := x.gate.cached.Lookup(prefixes, x.call.Shared())
	engines, byID := x.candidates(service, cachedTokens, pendingTokens, false)
	if choice, ok := x.chooseOverdue(service, engines, byID); ok {
		return choice, byID, true
	}
	choice, ok := x.choosePreferred(service, engines, byID)
	if !ok {
		engines, byID = x.candidates(service, cachedTokens, pendingTokens, true)
		choice, ok = x.gate.placer.Choose(x.job(service), engines)
	}
	return choice, byID, ok
}

// choosePreferred chooses among the engines without a limit if the request is in time there, otherwise among all.
func (x *exchange) choosePreferred(service *route.Service, engines []*place.Engine, byID map[string]*upstream) (place.Choice, bool) {
	if x.gate.permits.book.HasLimits() {
		unlimited := slices.DeleteFunc(slices.Clone(engines), func(e *place.Engine) bool { return x.gate.isLimited(byID[e.ID]) })
		if choice, ok := x.gate.placer.Choose(x.job(service), unlimited); ok && choice.Delay <= x.route.TargetLatency {
			return choice, true
		}
	}
	return x.gate.placer.Choose(x.job(service), engines)
}

// chooseOverdue chooses an engine that must get a request, together with the best others, if that is in time.
func (x *exchange) chooseOverdue(service *route.Service, engines []*place.Engine, byID map[string]*upstream) (place.Choice, bool) {
	u := x.overdue(func(u *upstream) bool { return byID[u.info.Load().ID] == u })
	if u == nil {
		return place.Choice{}, false
	}
	info := u.info.Load()
	fit := slices.DeleteFunc(slices.Clone(engines), func(e *place.Engine) bool {
		return e.PrefillOnly == (info.Role == member.Prefill) && e.ID != info.ID
	})
	choice, ok := x.gate.placer.Choose(x.job(service), fit)
	isUsed := ok && (choice.Decode.ID == info.ID || engineID(choice.Prefill) == info.ID)
	return choice, isUsed && choice.Delay <= x.route.TargetLatency
}

// chooseDecode chooses the engine that generates the output after an engine in prefillZone has processed the
// prompt, with a permit if that has a limit, or returns nil if there is none.
func (x *exchange) chooseDecode(ctx context.Context, service *route.Service, prefillZone string) *upstream {
	for ctx.Err() == nil {
		u := x.bestDecode(service, prefillZone)
		switch {
		case u == nil && x.awaitDecode(ctx):
		case u == nil || x.holdPermit(ctx, u):
			return u
		}
	}
	return nil
}

// bestDecode chooses the engine that generates the output among those that may have room; see chooseDecode. One at which the
// request has a permit already comes first.
func (x *exchange) bestDecode(service *route.Service, prefillZone string) *upstream {
	for _, includeUnavailable := range []bool{false, true} {
		engines, byID := x.candidates(service, nil, nil, includeUnavailable)
		if held := slices.DeleteFunc(slices.Clone(engines), func(e *place.Engine) bool { return !x.permits[byID[e.ID]] }); len(held) > 0 {
			if e := x.gate.placer.ChooseDecode(x.job(service), held, prefillZone); e != nil {
				return byID[e.ID]
			}
		}
		if e := x.gate.placer.ChooseDecode(x.job(service), engines, prefillZone); e != nil {
			return byID[e.ID]
		}
	}
	return nil
}

// job describes the request for the placement.
func (x *exchange) job(service *route.Service) *place.Job {
	return &place.Job{
		PromptTokens: x.call.PromptTokens, MaxOutputTokens: x.call.MaxOutputTokens, Zone: x.gate.settings().Zone,
		TokenBytes: service.Engine.KVTokenBytes, LinkMbps: service.Engine.LinkMbps,
		Urgent: x.priority == x.ownPriority && x.table.IsMostUrgent(x.priority, x.service), DecodeTime: x.decodeTime.Value(), Model: x.gate.curve(x.service).Model(),
		Interval: x.gate.usualInterval(x.service).Usual(), TargetGap: x.route.TargetGap,
	}
}

// candidates returns the engines that may get the request, and their upstreams by id. Engines that are changing
// roles, leave, try a suspect or have just rejected a request are included only if includeUnavailable is set.
func (x *exchange) candidates(service *route.Service, cachedTokens, pendingTokens map[string]int, includeUnavailable bool) ([]*place.Engine, map[string]*upstream) {
	peers, drainTime := x.gate.peerState(), x.gate.settings().DrainTime.Duration()
	byID := make(map[string]*upstream)
	var engines []*place.Engine
	for _, u := range x.gate.snapshot.Load().services[x.service] {
		if !u.isUsable() || x.tried[u] || x.isFull(u) || (u.isLeaving() && !u.isLastResort(drainTime)) {
			continue
		}
		if (x.trial != nil || x.isPartTrial) && u.info.Load().Role == member.Prefill {
			continue // A trial is made at one engine.
		}
		if !includeUnavailable && (u.isLeaving() || u.isPaused() || peers.changingRole[u.key] || x.gate.crashes.TrialAt(u.run())) {
			continue
		}
		info := u.info.Load()
		byID[info.ID] = u
		peerLoad := peers.loads[u.key]
		running, notPreemptible := u.usage(x.priority, peerLoad)
		engines = append(engines, &place.Engine{
			ID: info.ID, Zone: info.Zone, PrefillOnly: info.Role == member.Prefill,
			Backlog: u.backlog(x.priority, peerLoad),
			Running: running, Blocking: notPreemptible,
			Slowness: x.gate.paces.Factor(u.key), StreamSlowness: x.gate.streamPaces.Factor(u.key), Slots: service.Engine.Slots, Capacity: service.Engine.KVCapacity, Cached: cachedTokens[info.ID], CachedAfterBacklog: pendingTokens[info.ID],
		})
	}
	return engines, byID
}

// execute serves the request with the chosen engines.
func (x *exchange) execute(ctx context.Context, service *route.Service, choice place.Choice, engines map[string]*upstream, prefixes []cached.Prefix) result {
	dispatch := &call.Dispatch{Priority: x.priority, LastEventID: x.lastEventID}
	if choice.Prefill != nil {
		return x.prefillThenDecode(ctx, service, choice, engines, prefixes, dispatch)
	}
	decodeEngine := engines[choice.Decode.ID]
	if choice.FetchFrom != nil {
		dispatch.FetchFrom = engines[choice.FetchFrom.ID].info.Load().Addr
	}
	x.onResponse = decodeEngine.addPrefill(choice.PrefillTime, x.priority)
	defer x.onResponse()
	return x.decode(ctx, decodeEngine, dispatch, prefixes, choice.Delay)
}

// maxHandleAttempts limits the engines that are asked to decode from one KV cache. If two reject it, the cache is
// more likely lost than both engines are full.
const maxHandleAttempts = 2

// prefillThenDecode has one engine process the prompt and another generate the output. It releases the KV cache
// if no engine has started decoding from it.
func (x *exchange) prefillThenDecode(ctx context.Context, service *route.Service, choice place.Choice, engines map[string]*upstream, prefixes []cached.Prefix, dispatch *call.Dispatch) result {
	prefillEngine := engines[choice.Prefill.ID]
	x.gate.recordPrefixes(prefillEngine, choice.Prefill.ID, prefixes, choice.Delay)
	handle, outcome := x.prefill(ctx, engines, choice)
	if outcome != done {
		return outcome
	}
	x.gate.recordPrefixes(prefillEngine, choice.Prefill.ID, prefixes, 0)
	dispatch.KVSource = handle
	outcome = exhausted
	for range maxHandleAttempts {
		// Choose again: engines may have left or filled up during prefill.
		decodeEngine := x.chooseDecode(ctx, service, choice.Prefill.Zone)
		if decodeEngine == nil {
			if x.roomAfter > 0 {
				outcome = limited
			}
			break
		}
		outcome = x.decode(ctx, decodeEngine, dispatch, prefixes, maxTransferTime)
		if outcome != notRun || !x.mayRetry(ctx, outcome) {
			break
		}
	}
	if outcome != done && !x.headSent {
		go x.gate.releaseKVCache(prefillEngine, choice.Prefill.ID, handle, x.call.ID)
	}
	return outcome
}

// maxTransferTime is how long a decode engine may be silent while it receives a KV cache; a transfer takes less.
const maxTransferTime = 500 * time.Millisecond

// decode has an engine generate the output, whose first event is expected after delay. If the request can be
// repeated at another engine, a stall cancels the attempt. Bytes for any request of this gate count as activity
// of the engine.
func (x *exchange) decode(ctx context.Context, decodeEngine *upstream, dispatch *call.Dispatch, prefixes []cached.Prefix, delay time.Duration) result {
	id := decodeEngine.info.Load().ID
	if !x.allowCall(repeat.Run) {
		return exhausted
	}
	defer decodeEngine.addDecode(x.call.PromptTokens+x.call.MaxOutputTokens, x.priority)()
	attemptCtx, watch := x.watchStall(ctx, decodeEngine, repeat.Run, delay, x.route.IsRepeatable() && x.possibleRuns+1 < x.route.MaxAttempts)
	began := time.Now()
	outcome := x.attempt(attemptCtx, decodeEngine, dispatch)
	if grant := watch.end(); outcome != abandoned {
		grant.Return()
	} else if x.handleStall(ctx, decodeEngine, id, began, grant) {
		outcome = maybeRun
	}
	if outcome == done {
		x.gate.recordPrefixes(decodeEngine, id, prefixes, 0)
	} else {
		x.tried[decodeEngine] = true
	}
	return outcome
}

// releaseTimeout limits the call that releases a KV cache. If the call fails, the engine drops the cache by itself
// a few seconds later.
const releaseTimeout = time.Second

// releaseKVCache tells an engine that its KV cache for a request is no longer needed, unless the engine wants no calls.
func (g *Gate) releaseKVCache(engine *upstream, instance string, handle call.Handle, request string) {
	limit, limited := g.permits.book.Get(runOf(engine.info.Load()))
	if engine.isLeaving() || engine.refusingFor() > 0 || limited {
		g.log.Info("not freed", "id", request, "upstream", instance, "leaving", engine.isLeaving(), "pause", engine.refusingFor(), "limited", limited, "owner", limit.Owner)
		return
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	status := 0
	resp, err := g.pool.Do(ctx, handle.Addr, &client.Request{
		Method: http.MethodDelete, Target: platform.HandlePath(handle), Host: handle.Addr.String(),
		Header: platform.InstanceHeader(instance),
	}, 0)
	if err == nil {
		status = resp.StatusCode
		g.observe(engine, platform.ReadReply(status, resp.Header), sentAt)
		_, err = resp.ReadAll(maxHandleBytes)
		resp.Close()
	}
	g.log.Info("freed", "id", request, "upstream", instance, "handle", handle.ID, "status", status, "err", err)
}

// prefill has an engine process the prompt and returns the handle of its KV cache.
func (x *exchange) prefill(ctx context.Context, engines map[string]*upstream, choice place.Choice) (call.Handle, result) {
	prefillEngine := engines[choice.Prefill.ID]
	if !x.allowCall(repeat.Read) {
		return call.Handle{}, exhausted
	}
	defer x.settle()
	defer prefillEngine.addPrefill(choice.PrefillTime, x.priority)()
	dispatch := &call.Dispatch{Priority: x.priority, PrefillOnly: true}
	if choice.FetchFrom != nil {
		dispatch.FetchFrom = engines[choice.FetchFrom.ID].info.Load().Addr
	}
	possibleRuns, delivered, began := x.possibleRuns, x.delivered, time.Now()
	attemptCtx, watch := x.watchStall(ctx, prefillEngine, repeat.Read, choice.PrefillTime, true)
	defer func() { watch.end().Return() }()
	resp, outcome := x.roundTrip(attemptCtx, prefillEngine, dispatch)
	if resp == nil {
		// Prefill is safe to repeat, so a failure doesn't count as a run of the request.
		x.possibleRuns = possibleRuns
		x.tried[prefillEngine] = true
		if outcome == abandoned && x.handleStall(ctx, prefillEngine, choice.Prefill.ID, began, watch.end()) {
			outcome = maybeRun
		}
		if outcome == maybeRun {
			x.rejections++
			outcome = notRun
		}
		return call.Handle{}, outcome
	}
	defer resp.Close()
	x.delivered = delivered // A successful prefill doesn't count as an attempt.
	x.cause = repeat.Prompt
	body, err := resp.ReadAll(maxHandleBytes)
	if err == nil {
		var handle call.Handle
		if handle, err = platform.ReadHandle(body, prefillEngine.info.Load().Addr); err == nil {
			x.health.Success()
			x.gate.recordPrompt(prefillEngine, x.call.PromptTokens, choice, time.Since(began))
			x.gate.log.Info("prompt processed", "id", x.call.ID, "upstream", choice.Prefill.ID, "expected", choice.Delay, "took", time.Since(began))
			return handle, done
		}
	}
	x.cause = repeat.Unusable
	x.gate.log.Warn("prompt not processed", "id", x.call.ID, "upstream", choice.Prefill.ID, "status", resp.StatusCode, "err", err)
	x.tried[prefillEngine] = true
	if ctx.Err() != nil {
		return call.Handle{}, abandoned
	}
	x.health.Failure()
	x.rejections++
	return call.Handle{}, notRun
}
