package daemon_test

import (
	"testing"
	"testing/synctest"

	"carobline.dev/fakeengine/process/engine"
)

// Guards against a limit on the bytes of an answer that cuts a long stream, whose tokens
// are bounded by the contract.
func TestLongStreamIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const prompt, minBytes = "long, tokens=100000", 17 << 20
		system := newSystem(t, 2, func(config *engine.Config) { config.Pace, config.Resumes = 0, false })
		defer system.close()
		raised := testContract("acme", "acme-token")
		raised.MaxTokens = 200_000
		system.changeContract(raised, 1)
		got := system.stream(0, prompt)
		if len(got.body) < minBytes {
			t.Errorf("the stream has %d bytes, want at least %d", len(got.body), minBytes)
		}
		if _, whole := parseStream(got.body); !whole || got.broken {
			t.Errorf("the stream is cut after %d bytes", len(got.body))
		}
	})
}
