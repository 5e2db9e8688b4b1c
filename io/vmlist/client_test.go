package vmlist_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simflt"
	"pimentoseam/io/simvm"
	"pimentoseam/io/vmlist"
)

const (
	designVMs         = 5700        // Number of VMs to design for: 1600 entries and 4100 upstreams.
	changesPerDay     = 53 + 2*670  // Changes of a VM's state in a day: 53 VMs fail; 670 are restarted or replaced, with two changes each.
	pollInterval      = time.Second // Shortest time between two reads by an entry.
	maxBytesPerSecond = 4 << 10     // Traffic that the control plane may cause on a node.
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func vms(n int) []vmlist.VM {
	list := make([]vmlist.VM, n)
	for i := range list {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
		zone := fmt.Sprintf("zone-%d", i%6)
		list[i] = vmlist.VM{Name: fmt.Sprintf("vm-%d", i), Address: addr, Zone: zone, Role: "upstream", State: vmlist.Live}
	}
	return list
}

// TestList reads a list of the size to design for, again without a change and after one. It
// guards against clients that transfer the full list at each read: the traffic of a day with the expected
// number of changes must stay within the limit for the control plane.
func TestList(t *testing.T) {
	var bytes atomic.Int64
	s := httptest.NewUnstartedServer(simvm.New(simflt.New(), vms(designVMs)).Handler())
	s.Listener = countingListener{Listener: s.Listener, bytes: &bytes}
	s.Start()
	defer s.Close()
	c := vmlist.New(netip.MustParseAddrPort(s.Listener.Addr().String()))
	list := func(wantChanged bool) ([]vmlist.VM, int64) {
		t.Helper()
		before := bytes.Load()
		got, changed, err := c.List(t.Context())
		if err != nil || changed != wantChanged {
			t.Fatalf("got changed %v, %v, want %v", changed, err, wantChanged)
		}
		return got, bytes.Load() - before
	}
	all, fullBytes := list(true)
	if len(all) != designVMs {
		t.Fatalf("got %d VMs, want %d", len(all), designVMs)
	}
	_, unchangedBytes := list(false)
	resp, err := http.Post(s.URL+"/v1/vms/vm-7?state=leaving", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if all, _ = list(true); all[7].State != vmlist.Leaving {
		t.Errorf("got vm-7 %s, want leaving", all[7].State)
	}
	const day = 24 * time.Hour
	bytesPerSecond := float64(unchangedBytes)/pollInterval.Seconds() + float64(changesPerDay*fullBytes)/day.Seconds()
	t.Logf("bytes: full list %d, unchanged list %d; per second %.0f", fullBytes, unchangedBytes, bytesPerSecond)
	if bytesPerSecond > maxBytesPerSecond {
		t.Errorf("got %.0f bytes per second, want at most %d", bytesPerSecond, maxBytesPerSecond)
	}
}

// TestOddEntries guards against a list that is no longer followed because of entries that describe no VM.
func TestOddEntries(t *testing.T) {
	sound := `{"name":"vm-%d","address":"127.0.0.1:%d","role":"upstream","state":"leaving","since":"2026-01-02T03:04:05Z"}`
	nested := strings.Repeat(`{"a":[`, 200_000) + strings.Repeat(`]}`, 200_000)
	odd := []string{
		nested, `{"name":"o","state":"live","address":` + nested + `}`, `{"name":"o","address":"127.0.0.1:70000","state":"live"}`,
		`{"name":"o","address":"127.0.0.1:-1","state":"live"}`, `{"name":1e400,"state":"live"}`, `{"name":"o","state":"live","since":1e400}`,
		`{"name":"o","state":"asleep"}`, `{"name":"o"}`, `{}`, `null`, `7`, `"a \" ] , [ b"`, `[1,2]`, "\xff\xfe", ``, `{"name":"` + strings.Repeat("x", 500_000) + `"}`,
	}
	for _, isLast := range []bool{false, true} {
		entries := append([]string{fmt.Sprintf(sound, 1, 1)}, odd...)
		if !isLast {
			entries = append(entries, fmt.Sprintf(sound, 2, 2))
		}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "\n[ "+strings.Join(entries, " , ")+" ]\n") // The client has disconnected if this fails.
		}))
		defer s.Close()
		left := 0
		c := vmlist.New(netip.MustParseAddrPort(s.Listener.Addr().String()), vmlist.WithOnOdd(func(_ int, err error) {
			left++
			if bad := new(vmlist.BadVM); !errors.As(err, &bad) {
				t.Errorf("got %v, want a *BadVM", err)
			}
		}))
		got, changed, err := c.List(t.Context())
		if err != nil || !changed || len(got) != len(entries)-len(odd) || left != len(odd) {
			t.Fatalf("got %d VMs and %d left out, %v, %v; want %d and %d", len(got), left, changed, err, len(entries)-len(odd), len(odd))
		}
		if got[0].Name != "vm-1" || got[0].State != vmlist.Leaving {
			t.Errorf("got %+v, want vm-1", got[0])
		}
	}
	for _, broken := range []string{"", "null", "{}", "[", "[1,2", "]"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, broken) }))
		defer s.Close()
		if got, changed, err := vmlist.New(netip.MustParseAddrPort(s.Listener.Addr().String())).List(t.Context()); err == nil || changed {
			t.Errorf("%q: got %v, %v, want an error", broken, got, changed)
		}
	}
}
