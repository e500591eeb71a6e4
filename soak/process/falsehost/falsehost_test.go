package falsehost_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/loopback"
	"carobline.dev/soak/process/falsehost"
)

// runs keeps the recorded runs.
type runs struct {
	mutex  sync.Mutex
	byName map[string]int
}

// Write implements io.Writer.
func (runs *runs) Write(line []byte) (int, error) {
	var run falsehost.Run
	if err := json.Unmarshal(line, &run); err != nil {
		return 0, err
	}
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.byName[run.Nonce]++
	return len(line), nil
}

func (runs *runs) ran(nonce string) bool {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return runs.byName[nonce] > 0
}

// TestCopiedRefusalComesForTheSameRequest guards against a stand-in whose copies of refusals
// never come where the id tells nothing: in place of the answer to the same request, which runs.
func TestCopiedRefusalComesForTheSameRequest(t *testing.T) {
	addresses := loopback.ClaimFor(t)
	const sends, seeds = 10, 40
	found := 0
	for seed := uint64(0); seed < seeds && found == 0; seed++ {
		recorded := &runs{byName: map[string]int{}}
		host := falsehost.New(falsehost.Config{Host: "s1", Incarnation: 1, Seed: seed, Runs: recorded})
		listener, client := connect(t, addresses.Address(0, 0))
		go host.Serve(listener)
		reader := bufio.NewReader(client)
		for number := range sends {
			nonce := fmt.Sprintf("call-%d", number)
			if refusedAsSame(client, reader, nonce) && recorded.ran(nonce) {
				found++
			}
		}
		_ = client.Close()
		_ = listener.Close()
	}
	if found == 0 {
		t.Errorf("no copy of a refusal came for the request that was refused, in %d seeds", seeds)
	}
}

// refusedAsSame sends a request with one id for all and reports whether a refusal came.
func refusedAsSame(client io.Writer, reader *bufio.Reader, nonce string) bool {
	_, err := fmt.Fprintf(client, "POST /quotes HTTP/1.1\r\nHost: s1\r\n%s: same\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", rest.HeaderRequestID, falsehost.HeaderNonce, nonce)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return err == nil && response.Header.Get(rest.HeaderOutcome) == string(rest.OutcomeNotRun) && !strings.Contains(string(body), nonce)
}

// connect listens at an address and connects to it. Reads and writes of the client fail after a few seconds.
func connect(t *testing.T, address string) (net.Listener, net.Conn) {
	t.Helper()
	const timeout = 5 * time.Second
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := client.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	return listener, client
}
