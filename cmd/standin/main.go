// Command standin runs stand-ins for the systems around pimentoseam, and a load on it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pimentoseam/io/fleet"
	"pimentoseam/io/load"
	"pimentoseam/io/proc"
	"pimentoseam/io/simai"
	"pimentoseam/io/simflt"
	"pimentoseam/io/simkv"
	"pimentoseam/io/simsvc"
	"pimentoseam/io/simvm"
	"pimentoseam/io/vmlist"
)

func main() {
	app := kingpin.New("standin", "Stand-ins for the systems around pimentoseam.")
	addKV(app)
	addVMs(app)
	addEngine(app)
	addService(app)
	addFleet(app)
	addLoad(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// serve runs handler on addr until a signal.
func serve(addr string, handler http.Handler) error {
	ctx, cancel := proc.SignalContext()
	defer cancel()
	server := &http.Server{Addr: addr, Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func addKV(app *kingpin.Application) {
	cmd := app.Command("kv", "The key-value service.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		service := simkv.New(simflt.New())
		go service.ExpireLeases(nil)
		return serve(*listen, service.Handler())
	})
}

func addVMs(app *kingpin.Application) {
	cmd := app.Command("vms", "The list of VMs.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	file := cmd.Flag("file", "JSON list of VMs at the start.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		data, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		var vms []vmlist.VM
		if err := json.Unmarshal(data, &vms); err != nil {
			return err
		}
		return serve(*listen, simvm.New(simflt.New(), vms).Handler())
	})
}

func addEngine(app *kingpin.Application) {
	cmd := app.Command("engine", "A model engine.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	name := cmd.Flag("name", "Name.").Required().String()
	slots := cmd.Flag("slots", "Requests that run at once.").Default("8").Int()
	prefill := cmd.Flag("prefill", "Prompt tokens per second.").Default("20000").Float64()
	step := cmd.Flag("step", "Time per output token.").Default("10ms").Duration()
	change := cmd.Flag("change", "Time that an order takes.").Default("500ms").Duration()
	unfenced := cmd.Flag("unfenced", "Ignore fencing numbers.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		set := simai.Settings{Name: *name, Slots: *slots, Prefill: *prefill, Step: *step, Change: *change, Fenced: !*unfenced}
		engine := simai.New(set, simflt.New())
		go engine.Sample(nil)
		return serve(*listen, engine.Handler())
	})
}

func addService(app *kingpin.Application) {
	cmd := app.Command("service", "A plain service.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	name := cmd.Flag("name", "Name.").Required().String()
	work := cmd.Flag("work", "Time of a call.").Default("5ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		return serve(*listen, simsvc.New(*name, *work, simflt.New()).Handler())
	})
}

func addFleet(app *kingpin.Application) {
	cmd := app.Command("fleet", "Write the settings of a small fleet.")
	dir := cmd.Flag("dir", "Directory to write to.").Default("run").String()
	port := cmd.Flag("port", "First port.").Default("7400").Uint16()
	entries := cmd.Flag("entries", "Entries.").Default("2").Int()
	engines := cmd.Flag("engines", "Model engines.").Default("4").Int()
	services := cmd.Flag("services", "Plain services.").Default("2").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		return fleet.New(*dir, *port, fleet.WithSize(*entries, *engines, *services)).Write()
	})
}

func addLoad(app *kingpin.Application) {
	cmd := app.Command("load", "Send a mixed load and print what each caller got.")
	entries := cmd.Flag("entries", "Addresses of entries, separated by commas.").Required().String()
	length := cmd.Flag("for", "How long to send.").Default("5s").Duration()
	scale := cmd.Flag("scale", "Factor on all rates.").Default("1").Float64()
	cmd.Action(func(*kingpin.ParseContext) error {
		var addresses []netip.AddrPort
		for _, text := range strings.Split(*entries, ",") {
			addr, err := netip.ParseAddrPort(text)
			if err != nil {
				return err
			}
			addresses = append(addresses, addr)
		}
		callers := []load.Caller{
			{Name: "counter", Token: fleet.CounterToken, Kind: load.Check, Rate: 10 * *scale, Prompt: 200, Output: 8},
			{Name: "courier", Token: fleet.CourierToken, Kind: load.Order, Rate: 10 * *scale},
			{Name: "courier-lookup", Token: fleet.CourierToken, Kind: load.Lookup, Rate: 10 * *scale},
			{Name: "resident", Token: fleet.ResidentToken, Kind: load.Stream, Rate: 5 * *scale, Prompt: 1000, Output: 80},
		}
		printTallies(load.New(addresses).Run(context.Background(), callers, *length))
		return nil
	})
}

func printTallies(tallies []*load.Tally) {
	for _, t := range tallies {
		var parts []string
		for o, n := range t.Outcomes {
			parts = append(parts, fmt.Sprintf("%s=%d", o, n))
		}
		sort.Strings(parts)
		fmt.Printf("caller=%s %s first_p50=%s first_p99=%s total_p50=%s total_p99=%s\n",
			t.Caller, strings.Join(parts, " "),
			micros(t.First.ValueAtQuantile(50)), micros(t.First.ValueAtQuantile(99)),
			micros(t.Total.ValueAtQuantile(50)), micros(t.Total.ValueAtQuantile(99)))
	}
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
