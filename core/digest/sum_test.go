package digest_test

import (
	"testing"

	"pimentoseam/core/digest"
)

// TestSum checks which fields tell requests apart, and the golden values that entries of all versions must agree on.
func TestSum(t *testing.T) {
	base := digest.Request{
		Service: "app", Method: "POST", Host: "a.example", Path: "/x", Query: "y=1", Prompt: "m,aa", Credentials: "Cookie=z", Others: "Accept=*/*", Body: []byte("body"),
	}
	const goldenExact, goldenSimilar = "620fe68f02cfc8b7", "10e68f4474c359e6"
	if exact, similar := base.Exact().String(), base.Similar().String(); exact != goldenExact || similar != goldenSimilar {
		t.Errorf("got %s and %s, want %s and %s", exact, similar, goldenExact, goldenSimilar)
	}
	exact, similar := map[digest.Sum]string{base.Exact(): "base"}, map[digest.Sum]string{base.Similar(): "base"}
	for name, change := range map[string]func(r *digest.Request){
		"service":     func(r *digest.Request) { r.Service = "other" },
		"method":      func(r *digest.Request) { r.Method = "PUT" },
		"host":        func(r *digest.Request) { r.Host = "b.example" },
		"path":        func(r *digest.Request) { r.Path = "/y" },
		"prompt":      func(r *digest.Request) { r.Prompt = "m,ab" },
		"credentials": func(r *digest.Request) { r.Credentials = "Cookie=y" },
		"body":        func(r *digest.Request) { r.Body = []byte("other") },
		"shifted":     func(r *digest.Request) { r.Service, r.Method = "appP", "OST" },
		"query":       func(r *digest.Request) { r.Query = "y=2" },
		"others":      func(r *digest.Request) { r.Others = "Accept=text/html" },
	} {
		r := base
		change(&r)
		if other, ok := exact[r.Exact()]; ok {
			t.Errorf("%s has the exact digest of %s", name, other)
		}
		exact[r.Exact()] = name
		other, ok := similar[r.Similar()]
		if want := name == "query" || name == "others"; ok != want {
			t.Errorf("%s has the similar digest of %q, want that of base only for the query and other headers", name, other)
		}
		similar[r.Similar()] = name
	}
}

// TestText checks that the text form is read back, and that other texts are errors.
func TestText(t *testing.T) {
	want := (&digest.Request{Path: "/"}).Exact()
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
