//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// spotNotice is the time from the notice until the replica is gone ("spot (they are gone x s (2) after the notice)").
	spotNotice = 2 * time.Second
	// leaveEngines is the number of engines. One of them leaves, a share of 0.143.
	leaveEngines = 7
	// streamCallers is the number of streams in progress when the notice comes.
	streamCallers = 28
)

// streamConfig has one route of streams that may be resumed, with the figures of case-summary.
const streamConfig = `{"version":7,"routes":[
	{"name":"case-summary","host":"a.example","pathPrefix":"/case/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":800,"gapAimMs":200,"priority":2,"service":"lm-clerks","maxAttempts":2,"sessionAffinity":true,"resumable":true},
	{"name":"address-match","host":"a.example","pathPrefix":"/match/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":250,"gapAimMs":200,"priority":0,"service":"lm-clerks","maxAttempts":1,"sessionAffinity":true,"resumable":false}],
	"services":[{"name":"lm-clerks","healthCheckPath":"/health","maxConnections":370,"engine":{"slots":64,"kvCapacity":477670,"kvTokenBytes":163840,"linkMbps":1300000.0,"kvRetentionS":5.0,"reconfigureS":3.0}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":2000,"idleTimeoutMs":10000}}`

// lineNoter writes each line that a process prints to the record.
type lineNoter struct {
	r  *rig
	mu sync.Mutex
	b  bytes.Buffer
}

// Write notes the complete lines.
func (n *lineNoter) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.b.Write(p)
	for {
		line, err := n.b.ReadString('\n')
		if err != nil {
			n.b.WriteString(line)
			return len(p), nil
		}
		n.r.note("%s", strings.TrimSuffix(line, "\n"))
	}
}

// startReplica starts an engine as a process of its own and lists it.
func (r *rig) startReplica(id string, events int) (*proc, *member, error) {
	a, err := freeAddrs(1)
	if err != nil {
		return nil, nil, err
	}
	p, err := r.start(id, nil, &lineNoter{r: r}, os.Args[0], "replica", "--id", id, "--listen", a[0].String(), "--events", strconv.Itoa(events))
	if err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + a[0].String() + "/health"); err == nil {
			resp.Body.Close()
			break
		}
		if time.Now().After(end) {
			return nil, nil, errors.New(id + " is not ready")
		}
	}
	m := &member{ID: id, Service: "lm-clerks", Stage: "decode", Addr: a[0], Slots: 64}
	r.register(m)
	return p, m, nil
}

// playLeave lets a replica state that it leaves and be gone some seconds later, as on spot machines. It had streams in progress.
func playLeave(r *rig) (int, error) {
	return r.playStreams(60, func(leaving *proc, listed *member) {
		time.Sleep(600 * time.Millisecond)
		listed.setState(r, "draining")
		r.note("i-1 states in the list that it leaves")
		time.Sleep(spotNotice)
		if r.trouble {
			listed.silence(r)
			leaving.kill()
			r.note("i-1 is gone")
		}
	})
}

// playStreams lets callers read streams of a number of events while one of the engines meets a disruption. Each stream must be whole
// or seen to be broken off.
func (r *rig) playStreams(events int, disrupt func(*proc, *member)) (int, error) {
	r.store.Put("op/config", []byte(streamConfig))
	concerned, listed, err := r.startReplica("i-1", events)
	if err != nil {
		return notRun, err
	}
	for i := 2; i <= leaveEngines; i++ {
		if _, _, err := r.startReplica(fmt.Sprintf("i-%d", i), events); err != nil {
			return notRun, err
		}
	}
	g, err := r.startGate("front-bole-hall-1", 284)
	if err != nil {
		return notRun, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	for i := range streamCallers {
		path := "/case/x"
		if i%2 == 1 {
			path = "/match/x"
		}
		wait.Go(func() {
			outcome := r.callStream(g, path, fmt.Sprintf("a%d", i), events)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	disrupt(concerned, listed)
	wait.Wait()
	r.note("outcomes %v", outcomes)
	switch {
	case outcomes[truncated] > 0:
		return broken, nil
	case !r.trouble && outcomes[whole] != streamCallers:
		return notRun, errors.New("a stream was not served without the disruption")
	case outcomes[whole]+outcomes[brokenOff] != streamCallers:
		return notRun, errors.New("a stream was not served")
	}
	return held, nil
}

// What a caller of a stream gets.
const (
	whole     = "whole"
	truncated = "ends as complete before its last piece"
	brokenOff = "broken off"
	foreign   = "other"
)

// callStream sends a request for a stream and returns what came.
func (r *rig) callStream(g *gate, path, id string, want int) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.listen.String()+path, strings.NewReader("{}"))
	if err != nil {
		return foreign
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Model": "m", "X-Token-Counts": "300,60", "X-Prompt-Prefix": "5c1e07a2:200,b" + id + ":100", "X-Deadline-Remaining-Ms": "8000",
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 8500 * time.Millisecond}
	r.note("%s sent to %s", id, path)
	resp, err := client.Do(req)
	if err != nil {
		r.note("%s got no answer: %v", id, err)
		return foreign
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Response-Seal") == "" {
		r.note("%s got status %d", id, resp.StatusCode)
		return foreign
	}
	events, err := countEvents(resp.Body, id)
	outcome := whole
	switch {
	case errors.Is(err, io.EOF) && events < want:
		outcome = truncated
	case !errors.Is(err, io.EOF):
		outcome = brokenOff
	}
	r.note("%s got status 200 with the seal, %d of %d events, end of body: %v: %s", id, events, want, err, outcome)
	return outcome
}

// countEvents reads the events of a stream in order and returns their number and what ended the stream.
func countEvents(body io.Reader, id string) (int, error) {
	reader := bufio.NewReader(body)
	for n := 0; ; n++ {
		want := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n+1, id, n+1)
		got := make([]byte, len(want))
		if _, err := io.ReadFull(reader, got); err != nil {
			return n, err
		}
		if string(got) != want {
			return n, fmt.Errorf("got event %q", got)
		}
	}
}
