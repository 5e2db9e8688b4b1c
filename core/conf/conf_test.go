package conf_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pimentoseam/core/conf"
)

const valid = `{
	"targets": [
		{"name": "lm", "kind": "model", "versions": ["v1"], "version": "v1"},
		{"name": "app", "kind": "service", "once": ["POST"]}
	],
	"classes": [{"name": "urgent", "priority": 0, "first": "510ms", "whole": "1m30s"}],
	"callers": [{"name": "counter", "hash": "HASH", "class": "urgent", "targets": ["lm", "app"]}],
	"upstreams": [{"name": "lm-1", "target": "lm", "zone": "bole", "address": "127.0.0.1:7000", "slots": 8, "role": "mixed"}]
}`

func document() string {
	return strings.Replace(valid, "HASH", conf.HashToken("token"), 1)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string // The paths of the faults, in order.
	}{
		{"valid", "", "", nil},
		{"unknown field", `"zone": "bole"`, `"zone": "bole", "colour": "red"`, []string{"/upstreams/0:"}},
		{"missing field", `"slots": 8, `, ``, []string{"/upstreams/0:"}},
		{"two faults at once", `"slots": 8, "role": "mixed"`, `"slots": 0, "role": "cook"`, []string{"/upstreams/0/role:", "/upstreams/0/slots:"}},
		{"unknown class", `"class": "urgent"`, `"class": "idle"`, []string{"/callers/0/class:"}},
		{"unknown target", `["lm", "app"]`, `["lm", "gone"]`, []string{"/callers/0/targets/1:"}},
		{"twice", `"name": "app"`, `"name": "lm"`, []string{"/targets/1/name:", "/callers/0/targets/1:"}},
		{"version", `"version": "v1"`, `"version": "v2"`, []string{"/targets/0/version:"}},
		{"total deadline before first", `"1m30s"`, `"100ms"`, []string{"/classes/0/whole:"}},
		{"bad duration", `"510ms"`, `"soon"`, []string{"/classes/0/first:"}},
		{"invalid JSON", `{`, `[`, []string{"/:"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := conf.Parse([]byte(strings.Replace(document(), test.old, test.new, 1)))
			var invalid *conf.Invalid
			if err != nil && !errors.As(err, &invalid) {
				t.Fatalf("got %T, want *conf.Invalid", err)
			}
			var got []string
			if invalid != nil {
				got = invalid.Faults
			}
			if len(got) != len(test.want) {
				t.Fatalf("got faults %q, want %d", got, len(test.want))
			}
			for i := range got {
				if !strings.HasPrefix(got[i], test.want[i]) {
					t.Errorf("got fault %q, want it at %s", got[i], test.want[i])
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(document()))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := conf.Parse(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conf.Parse(encoded); err != nil {
			t.Errorf("an accepted document is rejected after encoding: %v", err)
		}
	})
}
