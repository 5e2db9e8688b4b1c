package fleet_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"pimentoseam/core/conf"
	"pimentoseam/io/fleet"
	"pimentoseam/io/load"
	"pimentoseam/io/simai"
)

// openaiClient returns an official client that sends its requests to an entry and doesn't retry them.
func (c *cluster) openaiClient(entry, token string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+c.addresses[entry].String()+"/v1"),
		option.WithAPIKey(token),
		option.WithMaxRetries(0),
	)
}

// chatParams returns the parameters of a chat completion with the given prompt and number of output tokens.
func chatParams(prompt string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "lm-clerks",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	}
}

// TestOfficialClient checks the path through entry, agent and engine with the official client library: complete and
// streamed answers, the model list, authentication and the cancellation of a request after a disconnect.
func TestOfficialClient(t *testing.T) {
	c := startCluster(t, 2, 2, 1)
	ctx := context.Background()
	client := c.openaiClient("entry-1", fleet.CounterToken)

	t.Run("whole", func(t *testing.T) {
		got, err := client.Chat.Completions.New(ctx, chatParams("whole", 8))
		if err != nil {
			t.Fatal(err)
		}
		if n := len(strings.Fields(got.Choices[0].Message.Content)); n != 8 {
			t.Errorf("got %d tokens, want 8", n)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		start := time.Now()
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams("streamed", 100))
		var first time.Duration
		n := 0
		for stream.Next() {
			if first == 0 {
				first = time.Since(start)
			}
			if choices := stream.Current().Choices; len(choices) > 0 && choices[0].Delta.Content != "" {
				n++
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if n != 100 {
			t.Errorf("got %d tokens, want 100", n)
		}
		// 100 tokens take 1 s, so an entry that buffers the stream exceeds the 510 ms.
		if first > 510*time.Millisecond {
			t.Errorf("first token after %v, want at most 510ms", first)
		}
	})
	t.Run("models", func(t *testing.T) {
		list, err := client.Models.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(list.Data) != 1 || list.Data[0].ID != "lm-clerks" {
			t.Errorf("got models %+v, want lm-clerks", list.Data)
		}
	})
	t.Run("unauthorised", func(t *testing.T) { c.checkUnauthorised(t) })
	t.Run("disconnect", func(t *testing.T) { c.checkDisconnect(t) })
}

// engineCounts returns the started and the cancelled requests of all engines.
func (c *cluster) engineCounts() (started, cancelled int64) {
	for name := range c.addresses {
		if !strings.HasPrefix(name, "engine-") {
			continue
		}
		var counts simai.Counts
		c.getJSON(name, "/counts", &counts)
		started += counts.Started
		cancelled += counts.Cancelled
	}
	return started, cancelled
}

// checkUnauthorised checks that a request without a known token is rejected and doesn't reach an engine.
func (c *cluster) checkUnauthorised(t *testing.T) {
	before, _ := c.engineCounts()
	for _, token := range []string{"", "wrong"} {
		status, _, body, err := c.post("entry-1", "/v1/chat/completions", token, "", []byte(`{"model":"lm-clerks"}`))
		if err != nil || status != http.StatusUnauthorized {
			t.Errorf("token %q: got status %d, %v, want 401", token, status, err)
		}
		if !strings.Contains(string(body), `"unauthorised"`) {
			t.Errorf("token %q: got %s, want the error type unauthorised", token, body)
		}
	}
	if after, _ := c.engineCounts(); after != before {
		t.Errorf("engines started %d requests without a known token, want none", after-before)
	}
}

// checkDisconnect checks that an engine cancels a request within 1 s of its caller's disconnect.
func (c *cluster) checkDisconnect(t *testing.T) {
	_, before := c.engineCounts()
	ctx, cancel := context.WithCancel(context.Background())
	client := c.openaiClient("entry-2", fleet.ResidentToken)
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("gone", 2000))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	cancel()
	_ = stream.Close()
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) {
		if _, after := c.engineCounts(); after == before+1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the engine did not cancel within 1 s of the caller's disconnect")
}

// TestTwoEngines checks that, with one prefill and one decode engine, each request is processed by both and gets a
// complete answer.
func TestTwoEngines(t *testing.T) {
	c := newCluster(t, 1, 2, 0)
	c.editConfig(func(d *conf.Document) {
		d.Upstreams[0].Role, d.Upstreams[1].Role = "prefill", "decode"
	})
	c.startAll()
	c.eventually(startTimeout, "roles", func() bool {
		return c.engineState("clerks-1").Role == "prefill" && c.engineState("clerks-2").Role == "decode"
	})
	time.Sleep(time.Second)
	prefillBefore, decodeBefore := c.startedRequests("clerks-1"), c.startedRequests("clerks-2")
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"]})
	callers := []load.Caller{
		{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 10, PromptTokens: 100, OutputTokens: 4},
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 5, PromptTokens: 100, OutputTokens: 20},
	}
	total := 0
	for _, tally := range mix.Run(context.Background(), callers, 3*time.Second) {
		total += tally.Outcomes[load.Complete]
		if len(tally.Outcomes) != 1 {
			t.Errorf("%s: got %v, want complete answers only", tally.Caller, tally.Outcomes)
		}
	}
	if n := int(c.startedRequests("clerks-1") - prefillBefore); n != total {
		t.Errorf("the prefill engine took %d prompts, want %d", n, total)
	}
	if n := int(c.startedRequests("clerks-2") - decodeBefore); n != total {
		t.Errorf("the decode engine took %d outputs, want %d", n, total)
	}
}
