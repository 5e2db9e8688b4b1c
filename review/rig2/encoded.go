//go:build review

package main

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spoilTime is how long one of the replicas spoils answers, and spoiledOneIn the share of them.
	spoilTime    = 5500 * time.Millisecond
	spoiledOneIn = 50
	plainService = "redirect-app"
	numReplicas  = 4
	numCallers   = 15
	callPause    = 80 * time.Millisecond
	workTime     = 30 * time.Millisecond
	bodySize     = 800
)

// plainConfig has the routes of a plain service, with the figures of forward-order and order-status.
const plainConfig = `{"version":7,"routes":[
	{"name":"forward-order","host":"a.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"redirect-app","maxAttempts":1},
	{"name":"order-status","host":"a.example","pathPrefix":"/status/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"redirect-app","maxAttempts":2}],
	"services":[{"name":"redirect-app","healthCheckPath":"/health","maxConnections":110}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":2000,"idleTimeoutMs":10000}}`

// plainBody returns the body of the answer to a request.
func plainBody(id string) string {
	return id + strings.Repeat(" ", bodySize-len(id))
}

// servePlain serves a replica of the plain service. While spoils is set, each answer in spoiledOneIn is encoded.
func (r *rig) servePlain(l net.Listener, instance string, spoils *atomic.Bool) {
	var answers atomic.Int64
	handler := func(w http.ResponseWriter, req *http.Request) {
		id, h := req.Header.Get("X-Attempt-Id"), w.Header()
		switch {
		case req.URL.Path == "/health":
			h.Set("X-Instance-Id", instance)
			return
		case req.Header.Get("X-Target-Instance") != instance:
			h.Set("X-Attempt-Id", id)
			h.Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.note("%s runs %s", instance, id)
		time.Sleep(workTime)
		h.Set("X-Attempt-Id", id)
		h.Set("X-Response-Seal", instance+"."+id)
		body := []byte(plainBody(id))
		if spoils.Load() && answers.Add(1)%spoiledOneIn == 0 {
			h.Set("Content-Encoding", "gzip")
			body = compress(body)
			r.note("%s spoils its answer to %s", instance, id)
		}
		_, _ = w.Write(body) // Fails only if the entry has disconnected.
	}
	_ = http.Serve(l, http.HandlerFunc(handler)) // Ends with the process.
}

// compress returns the gzip encoding of data.
func compress(data []byte) []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, _ = z.Write(data) // A bytes.Buffer takes all.
	_ = z.Close()
	return out.Bytes()
}

// playEncoded lets one of four replicas of a plain service spoil some of its answers: it encodes them, though no requester has asked
// for that.
func playEncoded(r *rig) (int, error) {
	r.store.Put("op/config", []byte(plainConfig))
	addrs, err := freeAddrs(numReplicas)
	if err != nil {
		return notRun, err
	}
	var faulty, sound atomic.Bool
	for i, addr := range addrs {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return notRun, err
		}
		spoils, id := &sound, fmt.Sprintf("i-%d", i+1)
		if i == 0 {
			spoils = &faulty
		}
		go r.servePlain(l, id, spoils)
		r.register(&member{ID: id, Service: plainService, Addr: addr, Slots: 6})
	}
	g, err := r.startGate("front-bole-hall-1", 284)
	if err != nil {
		return notRun, err
	}
	faulty.Store(r.trouble)
	end := time.Now().Add(spoilTime)
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for n := range numCallers {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * time.Second}
		wait.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				outcome := r.callPlain(client, g, fmt.Sprintf("a%d-%d", n, k), k%2 == 0)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
				time.Sleep(callPause)
			}
		})
	}
	wait.Wait()
	r.note("outcomes %v", outcomes)
	switch {
	case outcomes[truncated]+outcomes[encoded] > 0:
		return broken, nil
	case !r.trouble && len(outcomes) != 1, outcomes[whole] == 0:
		return notRun, errors.New("requests were not served without the disruption")
	}
	return held, nil
}

// encoded is an answer of success that is not the replica's body.
const encoded = "success with a Content-Encoding"

// callPlain sends a request and returns what came.
func (r *rig) callPlain(client *http.Client, g *gate, id string, isOrder bool) string {
	method, path, body := http.MethodGet, "/status/x", io.Reader(nil)
	if isOrder {
		method, path, body = http.MethodPost, "/order/x", strings.NewReader(strings.Repeat("o", 600))
	}
	req, err := http.NewRequest(method, "http://"+g.listen.String()+path, body)
	if err != nil {
		return foreign
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Remaining-Ms", "1000")
	r.note("%s sent to %s", id, path)
	resp, err := client.Do(req)
	if err != nil {
		r.note("%s got no answer: %v", id, err)
		return foreign
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	encoding, isSuccess := resp.Header.Get("Content-Encoding"), resp.StatusCode < http.StatusMultipleChoices
	outcome := fmt.Sprintf("status %d", resp.StatusCode)
	switch {
	case err != nil:
		outcome = brokenOff
	case isSuccess && encoding != "":
		outcome = encoded
	case isSuccess && string(data) != plainBody(id):
		outcome = truncated
	case isSuccess:
		outcome = whole
	}
	r.note("%s at %s got status %d, seal %q, encoding %q, %d bytes beginning with %.12q, %v: %s", id, path, resp.StatusCode,
		resp.Header.Get("X-Response-Seal"), encoding, len(data), data, err, outcome)
	return outcome
}
