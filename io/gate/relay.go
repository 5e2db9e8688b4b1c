package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"pimentoseam/core/pace"
	"pimentoseam/core/repeat"
	"pimentoseam/core/route"
	"pimentoseam/core/stream"
	"pimentoseam/io/client"
	"pimentoseam/io/guard"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

// relay sends an upstream's response to the caller.
func (x *exchange) relay(ctx context.Context, u *upstream, resp *client.Response) result {
	if !x.hasEngine() || !x.isStream(resp) {
		x.countBegun(resp)
	}
	x.prepareEnd(ctx, u, resp)
	x.cause = repeat.Incomplete
	if x.isStream(resp) {
		return x.relayStream(ctx, u, resp)
	}
	if x.headSent {
		return x.rejectContinuation(u, resp)
	}
	return x.relayBody(ctx, u, resp)
}

func (x *exchange) isStream(resp *client.Response) bool {
	return x.route.Kind == route.Stream && resp.StatusCode == http.StatusOK
}

// rejectContinuation handles a response that can't continue the stream of which the caller has a part: its body would
// end the stream as if that were complete.
func (x *exchange) rejectContinuation(u *upstream, resp *client.Response) result {
	x.possibleRuns++
	x.cause = repeat.Unusable
	x.health.Failure()
	x.gate.log.Warn("stream not continued", "id", x.call.ID, "upstream", u.info.Load().ID, "status", resp.StatusCode, "events", x.events)
	return maybeRun
}

// relayBody relays a response that is not a stream. It sends nothing to the caller before the first
// responseBufferSize bytes have arrived. A successful response must have the seal, a header that only the upstream
// itself sets; see call.Reply.
func (x *exchange) relayBody(ctx context.Context, u *upstream, resp *client.Response) result {
	x.possibleRuns++
	if x.isUnusable(ctx, u, resp) {
		x.cause = repeat.Unusable
		x.discardBody(resp)
		return maybeRun
	}
	conn := guard.FromContext(x.r.Context())
	buffered, err := io.ReadAll(io.LimitReader(conn.ChargedReader(resp), responseBufferSize))
	conn.HoldResponse(int64(cap(buffered)))
	if err == nil && len(buffered) < responseBufferSize {
		err = x.checkEnd(ctx, u, resp)
	}
	switch {
	case err == nil:
		return x.writeResponse(ctx, u, resp, buffered)
	case ctx.Err() != nil:
		return abandoned
	}
	x.gate.log.Warn("response from upstream ended early", "id", x.call.ID, "request", x.identity(), "upstream", u.info.Load().ID, "framing", resp.Framing(), "bytes", len(buffered), "err", err)
	x.accuse(u, u.info.Load(), true, 0)
	x.health.Failure()
	return maybeRun
}

// isUnusable reports whether the head of a response shows that it must not be passed on, or that another upstream may
// give a better one.
func (x *exchange) isUnusable(ctx context.Context, u *upstream, resp *client.Response) bool {
	id, status := u.info.Load().ID, resp.StatusCode
	reply := platform.ReadReply(status, resp.Header)
	switch {
	case reply.Encoded:
		x.gate.log.Warn("response has a content encoding", "id", x.call.ID, "upstream", id, "status", status, "encoding", resp.Header["Content-Encoding"])
		x.health.Failure()
		return true
	case status < http.StatusBadRequest && !reply.HasSeal:
		x.gate.log.Warn("response lacks the upstream's seal", "id", x.call.ID, "upstream", id, "status", status)
		x.health.Failure()
		return true
	case impliesNotRun(status):
		// The caller would conclude that the request did not run, but the upstream did not state that.
		x.gate.log.Warn("response status wrongly implies that request did not run", "id", x.call.ID, "upstream", id, "status", status)
		x.health.Failure()
		return true
	case status >= http.StatusInternalServerError && x.route.Kind == route.Safe && x.mayRetry(ctx, maybeRun) && x.hasUntried(ctx):
		x.gate.log.Info("upstream returned a server error", "id", x.call.ID, "upstream", id, "status", status)
		x.health.Success()
		return true
	}
	return false
}

// impliesNotRun reports whether callers conclude from a status that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// hasUntried reports whether the service has a usable upstream that was not tried and has room.
func (x *exchange) hasUntried(ctx context.Context) bool {
	return x.pickWithRoom(ctx) != nil
}

// writeResponse sends a response to the caller; buffered holds the part of the body that has been read already.
func (x *exchange) writeResponse(ctx context.Context, u *upstream, resp *client.Response, buffered []byte) result {
	x.writeHeader(resp)
	resp.Release() // A caller that reads slowly must not keep one of the upstream's connections.
	if _, err := x.w.Write(buffered); err != nil {
		return abandoned
	}
	if len(buffered) == responseBufferSize {
		if err := x.copyRest(ctx, u, resp); err != nil {
			return maybeRun
		}
	}
	x.health.Success()
	x.recordAnswered(resp)
	return done
}

// writeHeader sends the status and the headers to the caller.
func (x *exchange) writeHeader(resp *client.Response) {
	h := x.w.Header()
	for name, values := range platform.ResponseHeader(resp.Header) {
		h[name] = values
	}
	if x.isStream(resp) {
		h.Del("Content-Length") // Another attempt may continue the stream with a body of another length.
	}
	if x.gate.stop.isStopping() {
		h.Set("Connection", "close")
	}
	x.headSent, x.timeToHead = true, time.Since(x.arrived)
	x.onResponse()
	x.w.WriteHeader(resp.StatusCode)
}

// recordAnswered updates the metrics and logs a complete response.
func (x *exchange) recordAnswered(resp *client.Response) {
	x.count("answered")
	x.outage.End()
	x.recordSound(resp.StatusCode)
	x.gate.meter.Latency("first "+x.route.Name, x.timeToHead)
	x.gate.meter.Latency("whole "+x.route.Name, time.Since(x.arrived))
	x.gate.log.Info("answered", "id", x.call.ID, "route", x.route.Name, "upstream", x.lastUpstream, "config", x.table.Version,
		"status", resp.StatusCode, "framing", resp.Framing(), "first", x.timeToHead, "took", time.Since(x.arrived),
		"events", x.events, "arrivals", x.delivered, "ran", x.possibleRuns, "rejects", x.rejections)
}

const streamBufferSize = 16 << 10 // Maximum bytes of one read; an event may be longer.

// relayStream relays a stream in complete events. After an interrupted attempt, the response to the next one
// continues the stream after the last event that the caller has received.
func (x *exchange) relayStream(ctx context.Context, u *upstream, resp *client.Response) result {
	info := u.info.Load()
	if reply := platform.ReadReply(resp.StatusCode, resp.Header); !reply.HasSeal || reply.Encoded {
		x.gate.log.Warn("response lacks the upstream's seal or has a content encoding", "id", x.call.ID, "upstream", info.ID, "seal", reply.HasSeal, "encoded", reply.Encoded)
		x.possibleRuns++
		x.health.Failure()
		return maybeRun
	}
	x.possibleRuns++
	events, sentBefore := stream.New(stream.WithIDs(x.lastEventID)), x.events
	var timer pace.Timer
	buffer := make([]byte, streamBufferSize)
	for {
		n, err := resp.Read(buffer)
		u.lastReceived.Store(proc.Uptime())
		if unsound := events.Add(buffer[:n]); unsound != nil {
			err = unsound
		}
		if events.Count() > 0 && !x.begun {
			x.countBegun(resp)
		}
		if x.firstEvent.IsZero() && events.Count() > 0 {
			x.firstEvent = time.Now()
		}
		if !x.outlived && !x.firstEvent.IsZero() {
			x.outlived = x.gate.blame.Outlived(x.parts, time.Since(x.firstEvent))
		}
		if !x.sendEvents(resp, events) {
			return abandoned
		}
		x.events = sentBefore + events.Count()
		if pause, ok := timer.Add(events.Count()); ok && sentBefore == 0 {
			x.gate.recordStream(u, pause)
		}
		if errors.Is(err, io.EOF) {
			err = x.checkStreamEnd(ctx, u, resp, events)
		}
		switch {
		case errors.Is(err, io.EOF):
			if !x.headSent {
				x.writeHeader(resp)
			}
			x.health.Success()
			if events.Count() > 0 {
				x.gate.blame.Answered(x.parts)
			} else if resp.Framing() != client.Connection {
				x.accuse(u, info, true, 0) // An engine that crashes may end its body properly.
			}
			x.decodeTime.Add(time.Since(x.arrived) - x.timeToHead)
			x.recordAnswered(resp)
			return done
		case err != nil && ctx.Err() != nil:
			return abandoned
		case err != nil:
			x.gate.log.Warn("response from upstream ended early", "id", x.call.ID, "request", x.identity(), "upstream", info.ID, "framing", resp.Framing(), "events", x.events, "parts", x.call.PartNames(), "err", err)
			x.accuse(u, info, true, events.Count())
			x.health.Failure()
			return maybeRun
		}
	}
}

// sendEvents sends the complete events to the caller; it returns false if the caller has disconnected.
func (x *exchange) sendEvents(resp *client.Response, events *stream.Splitter) bool {
	data := events.Take()
	if len(data) == 0 {
		return true
	}
	if !x.headSent {
		x.writeHeader(resp)
	}
	if _, err := x.w.Write(data); err != nil {
		return false
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return false
	}
	if id := events.LastID(); id != "" {
		x.lastEventID = id
	}
	return true
}
