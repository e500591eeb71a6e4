package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/fakeengine/process/engine"
)

// TestEngineFaults is a table of engines that fail: the caller gets the whole
// answer to its own prompt, or an answer that can't be taken for a whole one.
func TestEngineFaults(t *testing.T) {
	const prompt = "spoilt batch, tokens=40"
	tests := []struct {
		name    string
		faults  engine.Faults
		resumes bool
		// everywhere gives the fault to all engines, not to one.
		everywhere bool
		whole      bool
	}{
		{"healthy", engine.Faults{}, true, true, true},
		{"cut, resumed elsewhere", engine.Faults{CutAfter: 7}, true, false, true},
		{"cut, can't resume", engine.Faults{CutAfter: 7}, false, true, false},
		{"cut everywhere", engine.Faults{CutAfter: 7}, true, true, false},
		{"ends without its mark", engine.Faults{EndEarly: true}, true, false, true},
		{"ends without its mark, can't resume", engine.Faults{EndEarly: true}, false, true, false},
		{"silent in mid-stream", engine.Faults{Hang: true}, true, false, true},
		{"sends garbage", engine.Faults{Garbage: true}, true, false, true},
		{"sends garbage everywhere", engine.Faults{Garbage: true}, true, true, false},
		{"answers another request", engine.Faults{WrongRequest: true}, true, false, true},
		{"answers another request everywhere", engine.Faults{WrongRequest: true}, true, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newSystem(t, 4, func(config *engine.Config) { config.Resumes = test.resumes })
				defer system.close()
				for index, host := range system.engines {
					if test.everywhere || index < 2 {
						host.SetFaults(test.faults)
					}
				}
				for range 6 { // enough to meet each engine
					checkStream(t, system.stream(0, prompt), prompt, test.whole)
					checkWhole(t, system, prompt, test.whole)
				}
			})
		})
	}
}

func checkStream(t *testing.T, got reply, prompt string, whole bool) {
	t.Helper()
	text, marked := streamed(got.body)
	if marked != whole {
		t.Errorf("the stream is whole: %v, want %v (status %d, broken %v)", marked, whole, got.status, got.broken)
	}
	if whole && text != words(prompt) {
		t.Errorf("the stream is %q, want %q", text, words(prompt))
	}
	if !strings.HasPrefix(words(prompt), text) {
		t.Errorf("the stream holds %q, which isn't the beginning of the answer", text)
	}
	if !whole && got.status == http.StatusOK && !got.broken {
		t.Error("a partial stream ended like a whole one")
	}
}

func checkWhole(t *testing.T, system *system, prompt string, whole bool) {
	t.Helper()
	got := system.call(context.Background(), 1, http.MethodPost, "/v1/completions", "acme-token", nil, `{"model":"pulp","prompt":"`+prompt+`"}`)
	if (got.status == http.StatusOK) != whole {
		t.Errorf("status %d, want a whole answer: %v; %s", got.status, whole, got.body)
	}
	if whole && !strings.Contains(got.body, words(prompt)) {
		t.Errorf("the answer is %q, want %q", got.body, words(prompt))
	}
	if !whole && got.header.Get(rest.HeaderOutcome) == "" {
		t.Errorf("an error without an outcome: %s", got.body)
	}
}

// TestBadRequests is a table of what callers do wrong. Each is refused without
// being run, and says why.
func TestBadRequests(t *testing.T) {
	const chat, text = "/v1/chat/completions", "/v1/completions"
	tests := []struct {
		name, method, path, token, body, code string
		status                                int
	}{
		{"no token", "POST", text, "", `{}`, "missing_token", 401},
		{"wrong token", "POST", text, "nobody", `{}`, "wrong_token", 401},
		{"an operator's token", "POST", text, "op-token", `{}`, "wrong_token", 401},
		{"bad JSON", "POST", text, "acme-token", `{"model":`, "bad_json", 400},
		{"JSON of another kind", "POST", text, "acme-token", `[1]`, "bad_json", 400},
		{"no model", "POST", text, "acme-token", `{"prompt":"x"}`, "missing_model", 400},
		{"unknown model", "POST", text, "acme-token", `{"model":"other","prompt":"x"}`, "unknown_model", 404},
		{"no messages", "POST", chat, "acme-token", `{"model":"pulp"}`, "missing_messages", 400},
		{"no prompt", "POST", text, "acme-token", `{"model":"pulp"}`, "missing_prompt", 400},
		{"several answers", "POST", text, "acme-token", `{"model":"pulp","prompt":"x","n":3}`, "unsupported_n", 400},
		{"no tokens asked", "POST", text, "acme-token", `{"model":"pulp","prompt":"x","max_tokens":0}`, "bad_max_tokens", 400},
		{"oversized", "POST", text, "acme-token", strings.Repeat("x", 5<<20), "body_too_large", 413},
		{"unknown service", "GET", "/services/stock/x", "acme-token", "", "unknown_service", 404},
		{"no key", "POST", "/services/orders/bookings", "acme-token", `{}`, "missing_idempotency_key", 400},
		{"unknown path", "GET", "/v2/x", "acme-token", "", "no_such_path", 404},
	}
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		for _, test := range tests {
			got := system.call(context.Background(), 0, test.method, test.path, test.token, nil, test.body)
			if got.status != test.status || !strings.Contains(got.body, `"code":"`+test.code+`"`) {
				t.Errorf("%s: %d %s, want %d %s", test.name, got.status, got.body, test.status, test.code)
			}
			if outcome := got.header.Get(rest.HeaderOutcome); outcome != "not_run" {
				t.Errorf("%s: outcome %q", test.name, outcome)
			}
		}
		if got := system.call(context.Background(), 0, "GET", "/v1/models", "acme-token", nil, ""); !strings.Contains(got.body, `"pulp"`) {
			t.Errorf("models: %s", got.body)
		}
	})
}

// TestGoneCallersLeakNothing lets callers go at several moments. Their places
// come back, and the bubble's end shows that no goroutine is left.
func TestGoneCallersLeakNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		for _, patience := range []time.Duration{0, time.Millisecond, 15 * time.Millisecond, 200 * time.Millisecond} {
			for range 10 {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				system.call(ctx, 0, http.MethodPost, "/v1/completions", "acme-token", nil, `{"model":"pulp","stream":true,"prompt":"x tokens=500"}`)
				cancel()
			}
		}
		system.until("all places are back", func() bool {
			overview, err := system.operator().Status(context.Background())
			if err != nil {
				return false
			}
			for _, node := range overview.Nodes {
				if node.Calls > 0 {
					return false
				}
			}
			return !system.engines[0].Busy() && !system.engines[1].Busy()
		})
	})
}

// TestCrossedCredentials shows that each credential opens its own interface.
func TestCrossedCredentials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		interfaces := map[string]string{
			"http://127.0.0.1:30/operator/v1/status": "op-token",
			"http://127.0.0.1:40/peer/v1/overview":   "peer-token",
			"http://127.0.0.1:20/announce/v1/hosts":  "host-token",
		}
		for url, right := range interfaces {
			for _, token := range []string{"acme-token", "op-token", "peer-token", "host-token", "order-token", ""} {
				request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("Authorization", "Bearer "+token)
				response, err := system.client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				if opened := response.StatusCode != http.StatusUnauthorized; opened != (token == right) {
					t.Errorf("token %q at %s: status %d", token, url, response.StatusCode)
				}
			}
		}
	})
}

// TestSlowReaders lets callers stop reading their streams. Each gives its place
// back once a write has stalled, and others are served meanwhile.
func TestSlowReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		for range 3 {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://127.0.0.1:10/v1/completions",
				strings.NewReader(`{"model":"pulp","stream":true,"prompt":"x tokens=9000"}`))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer acme-token")
			response, err := system.client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
		}
		time.Sleep(5 * time.Second)
		const prompt = "short, tokens=5"
		if text, whole := streamed(system.stream(0, prompt).body); !whole || text != words(prompt) {
			t.Errorf("beside slow readers a call got %q", text)
		}
		system.until("the slow readers' places are back", func() bool {
			overview, err := system.operator().Status(context.Background())
			return err == nil && overview.Nodes[0].Calls == 0
		})
	})
}

// TestContractChangesBite retires one contract and lowers another. Once the
// change is in force no node serves by the old one.
func TestContractChangesBite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		system.applyUntilDone(testContract("gone", "gone-token"))
		outcome, err := system.operator().Retire(context.Background(), operator.RetireRequest{Change: "retire", Base: 1, ClientAccount: "gone"})
		if err != nil || !outcome.InForce {
			t.Fatalf("retire: %+v, %v", outcome, err)
		}
		lowered := testContract("acme", "acme-token")
		lowered.Models, lowered.MaxTokens = nil, 3
		system.changeContract(lowered, 1)
		for node := range system.nodes {
			body := `{"model":"pulp","prompt":"x"}`
			if got := system.call(context.Background(), node, http.MethodPost, "/v1/completions", "gone-token", nil, body); got.status != http.StatusUnauthorized {
				t.Errorf("node %d serves a retired contract: %d", node, got.status)
			}
			if got := system.call(context.Background(), node, http.MethodPost, "/v1/completions", "acme-token", nil, body); got.status != http.StatusNotFound {
				t.Errorf("node %d serves a model that the contract lost: %d", node, got.status)
			}
		}
	})
}
