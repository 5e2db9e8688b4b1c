package tend

import (
	"context"
	"net"
	"net/http"
	"time"

	"pimentoseam/core/memory"
	"pimentoseam/io/guard"
)

// debugConnections limits the connections to the metrics, which operators fetch one at a time.
const debugConnections = 16

// serveMetrics serves the metrics until ctx ends; the agent works without them.
func (t *Tend) serveMetrics(ctx context.Context) {
	server := &http.Server{Handler: t.meter.Handler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	l, err := net.Listen("tcp", t.settings.Debug.String())
	if err == nil {
		serve := server.Serve
		if t.settings.Memory > 0 || t.settings.Files > 0 {
			limits := guard.New("debug", memory.NewSmall(debugConnections), t.meter, t.log)
			serve = func(l net.Listener) error { return limits.Serve(server, l) }
		}
		err = serve(l)
	}
	if err != nil && ctx.Err() == nil {
		t.log.Error("metrics not served", "addr", t.settings.Debug, "err", err)
	}
}
