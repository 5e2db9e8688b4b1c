package digest_test

import (
	"testing"

	"pimentoseam/core/digest"
)

// TestSum checks that each field tells requests apart, and the golden value that entries of all versions must agree on.
func TestSum(t *testing.T) {
	base := digest.Request{Service: "app", Caller: "10.0.0.1 ", Method: "POST", Host: "a.example", Target: "/x?y=1", Prompt: "m,aa", Body: []byte("body")}
	const golden = "2150cb4cc86d0107d0772d11d7105c9a"
	if got := base.Sum().String(); got != golden {
		t.Errorf("got %s, want %s", got, golden)
	}
	seen := map[digest.Sum]string{base.Sum(): "base"}
	for name, change := range map[string]func(r *digest.Request){
		"service": func(r *digest.Request) { r.Service = "other" },
		"caller":  func(r *digest.Request) { r.Caller = "10.0.0.2 " },
		"method":  func(r *digest.Request) { r.Method = "PUT" },
		"host":    func(r *digest.Request) { r.Host = "b.example" },
		"target":  func(r *digest.Request) { r.Target = "/x?y=2" },
		"prompt":  func(r *digest.Request) { r.Prompt = "m,ab" },
		"body":    func(r *digest.Request) { r.Body = []byte("other") },
		"shifted": func(r *digest.Request) { r.Service, r.Caller = "app1", "0.0.0.1 " },
	} {
		r := base
		change(&r)
		if other, ok := seen[r.Sum()]; ok {
			t.Errorf("%s has the digest of %s", name, other)
		}
		seen[r.Sum()] = name
	}
}

// TestText checks that the text form is read back, and that other texts are errors.
func TestText(t *testing.T) {
	want := (&digest.Request{Target: "/"}).Sum()
	var got digest.Sum
	if err := got.UnmarshalText([]byte(want.String())); err != nil || got != want {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	for _, bad := range []string{"", "xy", want.String() + "00"} {
		if err := got.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
