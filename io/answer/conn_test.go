package answer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pimentoseam/io/answer"
)

// serve runs a function for each accepted connection and returns the base URL.
func serve(t *testing.T, handle func(*net.TCPConn, *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					handle(c.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a body and returns that of the answer.
func post(t *testing.T, url string, size int) (string, error) {
	t.Helper()
	client := &http.Client{Transport: answer.NewTransport(nil), Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestResetUnderUpload guards against the part of an answer that came before a reset and looks whole, because the error of the
// connection went to the write of a long body.
func TestResetUnderUpload(t *testing.T) {
	for _, size := range []int{1 << 20, 16 << 20} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d MB, reset after %v", size>>20, pause), func(t *testing.T) {
				t.Parallel()
				url := serve(t, func(c *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") // Fails only if the client has closed the connection.
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				for range 8 {
					if body, err := post(t, url, size); err == nil {
						t.Errorf("%q passes as whole", body)
					}
				}
			})
		}
	}
}

// TestWholeUnderUpload guards against whole answers that are refused although the upload has ended, or although they have a length.
func TestWholeUnderUpload(t *testing.T) {
	const size = 4 << 20
	for name, test := range map[string]struct {
		head       string
		readsFirst bool
	}{
		"length before the upload":    {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		"chunks before the upload":    {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		"connection after the upload": {head: "HTTP/1.1 200 OK\r\n\r\n", readsFirst: true},
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(c *net.TCPConn, r *http.Request) {
				if test.readsFirst {
					_, _ = io.Copy(io.Discard, r.Body) // Fails only if the client has closed the connection.
				}
				_, _ = io.WriteString(c, test.head+"whole") // As above.
				_, _ = io.Copy(io.Discard, r.Body)
			})
			for range 5 {
				if body, err := post(t, url, size); err != nil || body != "whole" {
					t.Errorf("got %q, %v", body, err)
				}
			}
		})
	}
}
