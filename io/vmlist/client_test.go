package vmlist_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
