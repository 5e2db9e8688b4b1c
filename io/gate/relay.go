package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"pimentoseam/core/route"
	"pimentoseam/io/outlet"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

// relay passes an upstream's answer on to the caller.
func (x *exchange) relay(ctx context.Context, u *upstream, answer *outlet.Response) result {
	if x.route.Kind == route.Stream && answer.StatusCode == http.StatusOK {
		return x.relayStream(ctx, u, answer)
	}
	return x.relayWhole(ctx, u, answer)
}

// relayWhole passes on an answer that is no stream.
func (x *exchange) relayWhole(ctx context.Context, u *upstream, answer *outlet.Response) result {
	info := u.info.Load()
	status := answer.StatusCode
	reply := platform.ReadReply(status, answer.Header)
	head, err := io.ReadAll(io.LimitReader(answer, answerBuffer))
	failed := status >= http.StatusInternalServerError
	x.ran++
	switch {
	case err != nil:
		x.gate.log.Warn("answer broken off by upstream", "id", x.call.ID, "upstream", info.ID, "err", err)
	case status < http.StatusBadRequest && !reply.Sealed:
		x.gate.log.Warn("answer without its proof", "id", x.call.ID, "upstream", info.ID, "status", status)
	case promises(status):
		// The caller would take the status for "not run", and the upstream did not say that.
		x.gate.log.Warn("answer promises too much", "id", x.call.ID, "upstream", info.ID, "status", status)
	case failed && x.route.Kind == route.Safe && x.again(ctx, maybeRun) && x.hasOther():
		x.gate.log.Info("failed at upstream", "id", x.call.ID, "upstream", info.ID, "status", status)
		u.breaker.Success()
		return maybeRun
	default:
		u.breaker.Success()
		return x.pass(answer, head)
	}
	if ctx.Err() != nil {
		u.breaker.Cancel()
		return abandoned
	}
	u.breaker.Failure()
	return maybeRun
}

// promises reports whether callers take a status for "not run".
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// hasOther reports whether the service has an upstream that was not tried.
func (x *exchange) hasOther() bool {
	return x.gate.pickPlain(x.service, x.tried) != nil
}

// pass writes an answer whose first bytes have been read.
func (x *exchange) pass(answer *outlet.Response, head []byte) result {
	x.writeHead(answer)
	if _, err := x.w.Write(head); err != nil {
		return abandoned
	}
	if len(head) == answerBuffer {
		if _, err := io.Copy(x.w, answer); err != nil {
			return maybeRun
		}
	}
	x.finished(answer.StatusCode)
	return done
}

// writeHead passes on the status and the headers.
func (x *exchange) writeHead(answer *outlet.Response) {
	h := x.w.Header()
	for name, values := range platform.ResponseHeader(answer.Header) {
		h[name] = values
	}
	if x.gate.leaving.Load() {
		h.Set("Connection", "close")
	}
	x.begun, x.first = true, time.Since(x.arrived)
	x.started()
	x.w.WriteHeader(answer.StatusCode)
}

func (x *exchange) finished(status int) {
	x.count("answered")
	x.gate.meter.Latency("first "+x.route.Name, x.first)
	x.gate.meter.Latency("whole "+x.route.Name, time.Since(x.arrived))
	x.gate.log.Info("answered", "id", x.call.ID, "route", x.route.Name, "upstream", x.by, "config", x.table.Version,
		"status", status, "first", x.first, "took", time.Since(x.arrived),
		"events", x.pieces, "arrivals", x.arrivals, "ran", x.ran, "rejects", x.rejects)
}

const streamBuffer = 16 << 10 // Bytes of one read; an event may be longer.

// relayStream passes on a stream event by event; it goes on where an earlier attempt broke off.
func (x *exchange) relayStream(ctx context.Context, u *upstream, answer *outlet.Response) result {
	info := u.info.Load()
	if !platform.ReadReply(answer.StatusCode, answer.Header).Sealed {
		x.gate.log.Warn("answer without its proof", "id", x.call.ID, "upstream", info.ID)
		x.ran++
		u.breaker.Failure()
		return maybeRun
	}
	x.ran++
	control := http.NewResponseController(x.w)
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Read(buffer)
		u.heard.Store(proc.Uptime())
		pending = append(pending, buffer[:n]...)
		whole := eventsEnd(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 {
			if !x.begun {
				x.writeHead(answer)
			}
			if _, werr := x.w.Write(pending[:whole]); werr != nil {
				return abandoned
			}
			if ferr := control.Flush(); ferr != nil {
				return abandoned
			}
			x.note(pending[:whole])
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			if !x.begun {
				x.writeHead(answer)
			}
			u.breaker.Success()
			x.hold.Add(time.Since(x.arrived) - x.first)
			x.finished(answer.StatusCode)
			return done
		case err != nil && ctx.Err() != nil:
			u.breaker.Cancel()
			return abandoned
		case err != nil:
			x.gate.log.Warn("answer broken off by upstream", "id", x.call.ID, "upstream", info.ID, "events", x.pieces, "err", err)
			u.breaker.Failure()
			return maybeRun
		}
	}
}

// eventsEnd returns the length of the whole events at the beginning of data.
func eventsEnd(data []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		if i := bytes.LastIndex(data, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// note keeps the id of the newest event that was passed on.
func (x *exchange) note(events []byte) {
	for line := range strings.SplitSeq(string(events), "\n") {
		if id, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r"), "id:"); ok {
			x.last = strings.TrimPrefix(id, " ")
			x.pieces++
		}
	}
}
