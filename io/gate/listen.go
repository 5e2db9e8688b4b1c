package gate

import (
	"errors"
	"net"
	"net/http"
	"time"

	"pimentoseam/core/memory"
	"pimentoseam/io/front"
	"pimentoseam/io/guard"
	"pimentoseam/platform"
)

// Connections to the listeners that aren't for callers. Probes and operators come one at a time, other entries fetch now and then.
const (
	readyConnections = 64
	debugConnections = 16
	shareConnections = 64
)

// readyListener is the name of the listener for readiness probes.
const readyListener = "ready"

// isBounded reports whether the settings state the VM's memory or descriptors.
func (g *Gate) isBounded() bool {
	return g.settings().Memory > 0 || g.settings().Files > 0
}

// frontOptions returns the options of the server for callers.
func (g *Gate) frontOptions() []front.Option {
	options := []front.Option{front.WithReservedTrailers(platform.ReservedTrailers()...), front.WithMeter(g.meter)}
	if g.isBounded() {
		guard.LimitRuntime(g.settings().Memory)
		budget := memory.New(g.settings().Memory, g.settings().Files)
		g.log.Info("bounds", "memory", g.settings().Memory, "files", g.settings().Files, "connections", budget.MaxConnections())
		options = append(options, front.WithGuard(guard.New("front", budget, g.meter, g.log)))
	}
	return options
}

// serveListener serves HTTP on l, which isn't for callers, until it is closed.
func (g *Gate) serveListener(name string, connections int, handler http.Handler, l net.Listener) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	serve := server.Serve
	if g.isBounded() {
		// Probes come once a second; a client that repeats its requests must not keep their place.
		server.SetKeepAlivesEnabled(name != readyListener)
		limits := guard.New(name, memory.NewSmall(connections), g.meter, g.log)
		serve = func(l net.Listener) error { return limits.Serve(server, l) }
	}
	if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("listener ended", "addr", l.Addr(), "err", err)
	}
}
