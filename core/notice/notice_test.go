package notice_test

import (
	"errors"
	"testing"

	"pimentoseam/core/notice"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(nil))
	f.Add((&notice.Notice{Service: "lm", StoreRevision: 7, Upstream: "i-1", Addr: "127.0.0.1:1", Role: "decode"}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := notice.Parse(data)
		if err != nil {
			if bad := new(notice.BadNotice); !errors.As(err, &bad) {
				t.Errorf("got %T, want *notice.BadNotice", err)
			}
			return
		}
		decoded, err := notice.Parse(n.Encode())
		if err != nil || *decoded != *n {
			t.Errorf("got %+v and %v, want %+v", decoded, err, n)
		}
	})
}
