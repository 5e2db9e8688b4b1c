package crash_test

import (
	"testing"

	"pimentoseam/core/crash"
)

// TestDigest checks that each field tells requests apart, and the golden value that entries of all versions must agree on.
func TestDigest(t *testing.T) {
	base := crash.Request{Service: "app", Caller: "10.0.0.1 ", Method: "POST", Host: "a.example", Target: "/x?y=1", Prompt: "m,aa", Body: []byte("body")}
	const golden = "2150cb4cc86d0107d0772d11d7105c9a"
	if got := base.Digest().String(); got != golden {
		t.Errorf("got %s, want %s", got, golden)
	}
	seen := map[crash.Digest]string{base.Digest(): "base"}
	for name, change := range map[string]func(r *crash.Request){
		"service": func(r *crash.Request) { r.Service = "other" },
		"caller":  func(r *crash.Request) { r.Caller = "10.0.0.2 " },
		"method":  func(r *crash.Request) { r.Method = "PUT" },
		"host":    func(r *crash.Request) { r.Host = "b.example" },
		"target":  func(r *crash.Request) { r.Target = "/x?y=2" },
		"prompt":  func(r *crash.Request) { r.Prompt = "m,ab" },
		"body":    func(r *crash.Request) { r.Body = []byte("other") },
		"shifted": func(r *crash.Request) { r.Service, r.Caller = "app1", "0.0.0.1 " },
	} {
		r := base
		change(&r)
		if other, ok := seen[r.Digest()]; ok {
			t.Errorf("%s has the digest of %s", name, other)
		}
		seen[r.Digest()] = name
	}
}

// TestDigestText checks that the text form is read back, and that other texts are errors.
func TestDigestText(t *testing.T) {
	want := (&crash.Request{Target: "/"}).Digest()
	var got crash.Digest
	if err := got.UnmarshalText([]byte(want.String())); err != nil || got != want {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	for _, bad := range []string{"", "xy", want.String() + "00"} {
		if err := got.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
