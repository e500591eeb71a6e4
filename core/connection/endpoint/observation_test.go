package endpoint_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/connection/endpoint"
)

const idHeader = "Call-Id"

// refusal and sound are whole answers that bear an id.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
}

func sound(id string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

// serveScript serves connections, each of which writes the next answers of a script, one string a request.
func serveScript(t *testing.T, scripts ...[]string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, script := range scripts {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				for _, answer := range script {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(connection, answer)
				}
				_, _ = reader.ReadByte()
			}()
		}
	}()
	return listener.Addr().String()
}

// send sends a request with an id and returns the status of its answer, 0 for an error.
func send(t *testing.T, transport *endpoint.Transport, address, id string) (int, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		request.Header.Set(idHeader, id)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}

// Guards against logs that don't tell a copied refusal, another's answer, one without an id and bytes that nobody
// asked for from each other.
func TestObservationsTellAnswersApart(t *testing.T) {
	for name, test := range map[string]struct {
		script []string
		ids    []string
		want   endpoint.Observation
	}{
		"copied refusal": {[]string{refusal("r"), refusal("r")}, []string{"r", "b"}, endpoint.Observation{Oddity: endpoint.CopiedRefusal, Request: "b", Answered: "r", Status: 503}},
		"copied answer":  {[]string{sound("a"), sound("a")}, []string{"a", "b"}, endpoint.Observation{Oddity: endpoint.CopiedAnswer, Request: "b", Answered: "a", Status: 200}},
		"foreign":        {[]string{sound("c")}, []string{"a"}, endpoint.Observation{Oddity: endpoint.ForeignAnswer, Request: "a", Answered: "c", Status: 200}},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveScript(t, test.script)
			var got []endpoint.Observation
			transport := endpoint.New(endpoint.Config{
				Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: 1, IDHeader: idHeader,
				Observe: func(observation endpoint.Observation) { got = append(got, observation) },
			})
			for _, id := range test.ids {
				_, _ = send(t, transport, address, id)
			}
			test.want.Address = address
			if diff := cmp.Diff([]endpoint.Observation{test.want}, got); diff != "" {
				t.Errorf("observations (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against bytes on an unused connection that nobody hears of.
func TestUnsolicitedAnswerIsObserved(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answered := make(chan struct{})
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(connection, refusal("a"))
		<-answered
		_, _ = io.WriteString(connection, refusal("a"))
		_, _ = io.Copy(io.Discard, reader)
	}()
	observed := make(chan endpoint.Observation, 1)
	transport := endpoint.New(endpoint.Config{
		Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: 1, IDHeader: idHeader,
		Observe: func(observation endpoint.Observation) { observed <- observation },
	})
	if status, err := send(t, transport, listener.Addr().String(), "a"); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, error %v", status, err)
	}
	close(answered)
	select {
	case got := <-observed:
		if got.Oddity != endpoint.UnsolicitedAnswer || got.Address != listener.Addr().String() {
			t.Errorf("observation %+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the bytes weren't observed")
	}
}
