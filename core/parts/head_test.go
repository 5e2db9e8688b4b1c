package parts_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
)

func document(callers int) *conf.Document {
	d := &conf.Document{
		Targets: []conf.Target{{Name: "lm", Kind: conf.Model, Versions: []string{"v1"}, Version: "v1"}},
		Classes: []conf.Class{{Name: "urgent", FirstDeadline: 1, TotalDeadline: 2}},
	}
	for i := range callers {
		name := fmt.Sprint("org", i)
		d.Callers = append(d.Callers, conf.Caller{Name: name, TokenHash: conf.HashToken(name), Class: "urgent", Targets: []string{"lm"}})
	}
	return d
}

// TestChange stores revisions of a document in parts and compares what is read back; one changed caller must
// write at most a tenth of the whole document.
func TestChange(t *testing.T) {
	doc := document(1500)
	store := map[string][]byte{}
	head := &parts.Head{}
	put := func(id string) int {
		next, added := head.Next(doc, id)
		written := len(next.Encode())
		for key, data := range added {
			if _, ok := store[key]; ok {
				t.Errorf("part %s was written twice", key)
			}
			store[key] = data
			written += len(data)
		}
		for _, key := range next.Stale {
			delete(store, key)
		}
		head = next
		return written
	}
	put("first")
	doc.Callers[7].Class = "other"
	written := put("second")
	doc.Callers = doc.Callers[1:]
	put("third")

	got, err := head.Join(store)
	if err != nil {
		t.Fatal(err)
	}
	byName := func(a, b conf.Caller) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(got.Callers, byName)
	want := *doc
	want.Callers = slices.Clone(doc.Callers)
	slices.SortFunc(want.Callers, byName)
	if !reflect.DeepEqual(got, &want) {
		t.Error("the document read back differs from the one stored")
	}
	if len(store) != len(head.Parts) {
		t.Errorf("%d parts stored, want the %d of the head", len(store), len(head.Parts))
	}
	whole, _ := json.Marshal(doc)
	t.Logf("one changed caller of 1500: %d bytes of head and part, %d of the whole document", written, len(whole))
	if written*10 > len(whole) {
		t.Errorf("one change moves %d bytes, want at most a tenth of %d", written, len(whole))
	}
	if head.Find("second") != 2 || head.Find("none") != 0 {
		t.Error("submissions are not found by id")
	}
}

func FuzzParse(f *testing.F) {
	head, _ := (&parts.Head{}).Next(document(3), "id")
	f.Add(head.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := parts.Parse(data)
		if err == nil {
			_, _ = h.Join(nil)
			_ = h.Memberships(&conf.Document{})
		}
	})
}
