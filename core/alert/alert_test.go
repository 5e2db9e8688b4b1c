package alert_test

import (
	"encoding/hex"
	"errors"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/alert"
	"pimentoseam/core/beat"
	"pimentoseam/core/leave"
)

// golden is an alert as released versions encode it.
const golden = "a50161650268682e783a39393930030204190102058182070b"

// TestGolden checks that alerts of released versions decode, and that new alerts have the same encoding.
func TestGolden(t *testing.T) {
	want := &alert.Alert{Name: "e", ShareAddr: "h.x:9990", Era: 2, Members: 258, Leaving: []leave.Run{{Key: 7, Started: 11}}}
	if encoded := hex.EncodeToString(want.Encode()); encoded != golden {
		t.Errorf("got encoding %s, want %s", encoded, golden)
	}
	data, err := hex.DecodeString(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := alert.Parse(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// goldenPaces is an alert with the speeds of engines as released versions encode it.
const goldenPaces = "a30161650260068182071882"

// TestGoldenPaces is TestGolden for the speeds of engines.
func TestGoldenPaces(t *testing.T) {
	want := &alert.Alert{Name: "e", Paces: []alert.Pace{{Key: 7, Percent: 130}}}
	if encoded := hex.EncodeToString(want.Encode()); encoded != goldenPaces {
		t.Errorf("got encoding %s, want %s", encoded, goldenPaces)
	}
}

// TestUnknownField checks that an alert of a later version, with a field that this one doesn't know, decodes.
func TestUnknownField(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{1: "e", 3: 4, 99: "new"})
	if err != nil {
		t.Fatal(err)
	}
	if a, err := alert.Parse(data); err != nil || a.Name != "e" || a.Era != 4 {
		t.Errorf("got %+v, %v", a, err)
	}
}

// TestIsAlert checks that neither message is taken for the other.
func TestIsAlert(t *testing.T) {
	if !alert.IsAlert((&alert.Alert{Name: "e"}).Encode()) {
		t.Error("an alert is not recognized")
	}
	if alert.IsAlert((&beat.Beat{Name: "e"}).Encode()) || alert.IsAlert(nil) {
		t.Error("a beat or an empty datagram is taken for an alert")
	}
	if _, err := beat.Parse((&alert.Alert{Name: "e"}).Encode()); err == nil {
		t.Error("an alert is taken for a beat")
	}
}

// TestSize checks that a full alert fits into a datagram.
func TestSize(t *testing.T) {
	a := &alert.Alert{Name: "front-some-zone-name-12", ShareAddr: "10.200.100.100:10000", Era: alertEra, Members: 1 << 60}
	for i := range alert.MaxLeaving {
		a.Leaving = append(a.Leaving, leave.Run{Key: 1<<31 + uint32(i), Started: 1 << 41})
	}
	if n := len(a.Encode()); n > 16<<10 {
		t.Errorf("%d bytes, want 16 kB at most", n)
	}
}

const alertEra = 1 << 20

func FuzzParse(f *testing.F) {
	f.Add((&alert.Alert{Name: "e", Leaving: []leave.Run{{Key: 1}}}).Encode())
	f.Add([]byte{0xa1})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := alert.Parse(data)
		bad := new(alert.BadAlert)
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("got %v, want a *BadAlert", err)
		}
		if err == nil {
			a.Encode()
		}
	})
}
