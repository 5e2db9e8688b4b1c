package gossip_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/beat"
	"pimentoseam/io/gossip"
)

// fragile is a delegate that panics at alerts with a name.
type fragile struct {
	name   string
	alerts chan string
}

// Beat returns an empty beat.
func (f *fragile) Beat() *beat.Beat { return &beat.Beat{} }

// Digest returns an empty beat.
func (f *fragile) Digest() *beat.Beat { return &beat.Beat{} }

// HandleBeat does nothing.
func (f *fragile) HandleBeat(*beat.Beat) {}

// Alerts returns none.
func (f *fragile) Alerts() []*alert.Alert { return nil }

// HandleAlert records the name of an alert, or panics.
func (f *fragile) HandleAlert(_ netip.AddrPort, a *alert.Alert) {
	if a.Name == f.name {
		panic("an input that the process can't bear")
	}
	f.alerts <- a.Name
}

// TestDatagramThatPanics guards against one datagram, which is sent again and again, that ends each process which receives it.
func TestDatagramThatPanics(t *testing.T) {
	probe, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	listen := netip.MustParseAddrPort(probe.LocalAddr().String())
	probe.Close()
	f := &fragile{name: "bad", alerts: make(chan string, 100)}
	g := gossip.New(listen, "e1", "a", slog.New(slog.DiscardHandler), f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(listen))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range []string{"bad", "good"} {
			_, _ = conn.Write((&alert.Alert{Name: name, Era: 1}).Encode()) // Fails while nothing listens.
		}
		select {
		case name := <-f.alerts:
			if name != "good" {
				t.Errorf("got an alert of %q", name)
			}
			return
		default:
		}
	}
	t.Error("no alert was handled after one that panics")
}
