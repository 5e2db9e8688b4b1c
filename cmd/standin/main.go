// Command standin runs simulations of the systems around pimentoseam and sends load to it.
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
	app := kingpin.New("standin", "Simulations of the systems around pimentoseam.")
	addKV(app)
	addVMs(app)
	addEngine(app)
	addService(app)
	addFleet(app)
	addLoad(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// serve serves HTTP on addr until the process gets a signal.
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
	cmd := app.Command("kv", "Run a key-value service.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		service := simkv.New(simflt.New())
		go service.ExpireLeases(nil)
		return serve(*listen, service.Handler())
	})
}

func addVMs(app *kingpin.Application) {
	cmd := app.Command("vms", "Serve a list of VMs.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	file := cmd.Flag("file", "File with the initial list of VMs in JSON.").Required().String()
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
	cmd := app.Command("engine", "Run a model engine.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	name := cmd.Flag("name", "Name.").Required().String()
	slots := cmd.Flag("slots", "Maximum number of concurrent requests.").Default("8").Int()
	prefillRate := cmd.Flag("prefill", "Prompt tokens per second.").Default("20000").Float64()
	tokenTime := cmd.Flag("step", "Time per output token.").Default("10ms").Duration()
	changeTime := cmd.Flag("change", "Time that the execution of a command takes.").Default("500ms").Duration()
	unfenced := cmd.Flag("unfenced", "Execute commands with a stale fencing token.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		settings := simai.Settings{Name: *name, Slots: *slots, PrefillRate: *prefillRate, TokenTime: *tokenTime, ChangeTime: *changeTime, RejectsStale: !*unfenced}
		engine := simai.New(settings, simflt.New())
		go engine.Sample(nil)
		return serve(*listen, engine.Handler())
	})
}

func addService(app *kingpin.Application) {
	cmd := app.Command("service", "Run a plain service.")
	listen := cmd.Flag("listen", "Address.").Required().String()
	name := cmd.Flag("name", "Name.").Required().String()
	callTime := cmd.Flag("work", "Time that a call takes.").Default("5ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		return serve(*listen, simsvc.New(*name, *callTime, simflt.New()).Handler())
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
	cmd := app.Command("load", "Send the requests of several callers and print the outcomes and latencies.")
	entries := cmd.Flag("entries", "Addresses of entries, separated by commas.").Required().String()
	length := cmd.Flag("for", "Time for which requests are sent.").Default("5s").Duration()
	scale := cmd.Flag("scale", "Factor by which all request rates are multiplied.").Default("1").Float64()
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
			{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 10 * *scale, PromptTokens: 200, OutputTokens: 8},
			{Name: "courier", Token: fleet.CourierToken, Kind: load.NonIdempotentCall, Rate: 10 * *scale},
			{Name: "courier-lookup", Token: fleet.CourierToken, Kind: load.IdempotentCall, Rate: 10 * *scale},
			{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 5 * *scale, PromptTokens: 1000, OutputTokens: 80},
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
