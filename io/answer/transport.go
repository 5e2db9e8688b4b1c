package answer

import (
	"context"
	"net"
	"net/http"
)

// maxHeadBytes limits the head of an answer. The default of net/http, 10 MB, is too much for hundreds of calls at a time.
const maxHeadBytes = 64 << 10

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns a transport over connections that dial opens, nil for those of a net.Dialer, whose answers are checked. It must not be
// used for HEAD requests.
func NewTransport(dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return New(c), nil
		},
	}
}
