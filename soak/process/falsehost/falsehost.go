// Package falsehost is a host of a plain service that writes more, less and other than it
// should on its connections, as drawn from a seed. What it states about a request that it has
// just read is true, so that a refusal that states that nothing was run is right for that
// request; copies of refusals and answers come late, on connections in use again. It
// records each run before it answers.
//
// # Usage
//
//	host := falsehost.New(falsehost.Config{Host: "s1", Incarnation: 5, Seed: 7, Runs: file})
//	host.Serve(listener)
package falsehost

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"carobline.dev/core/connection/rest"
)

// Config is fixed for the life of a host.
type Config struct {
	Host        string
	Incarnation uint64
	Seed        uint64
	// Runs gets one line for each run, in one write.
	Runs io.Writer
}

// Run is one run of a request, as it is recorded.
type Run struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	RequestID   string `json:"request"`
	Key         string `json:"key,omitempty"`
	Nonce       string `json:"nonce"`
}

// Answer is the body of an answer. Nonce is that of the request.
type Answer struct {
	Nonce string `json:"nonce"`
	Key   string `json:"key,omitempty"`
}

// HeaderNonce bears the caller's own name of a request: a header that entry hosts pass on.
const HeaderNonce = "Accept-Language"

// Host answers requests. It is safe for concurrent use.
type Host struct {
	config      Config
	falsePart   float64
	refusedPart float64
	busy        atomic.Int64
	connections atomic.Uint64
}

// New returns a host. How often it refuses, and how often it answers falsely, is drawn too.
func New(config Config) *Host {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	falseParts, refusedParts := []float64{0.05, 0.2, 0.5}, []float64{0.05, 0.3, 0.7}
	return &Host{config: config, falsePart: falseParts[random.IntN(len(falseParts))], refusedPart: refusedParts[random.IntN(len(refusedParts))]}
}

// Busy returns how many requests are in progress.
func (host *Host) Busy() int { return int(host.busy.Load()) }

// Serve answers until the listener is closed.
func (host *Host) Serve(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		number := host.connections.Add(1)
		connection := &connection{host: host, socket: socket, random: rand.New(rand.NewPCG(host.config.Seed, number)), lateByID: map[string][]byte{}}
		go connection.serve()
	}
}

// record records a run.
func (host *Host) record(request *http.Request) {
	line, err := json.Marshal(Run{
		Host: host.config.Host, Incarnation: host.config.Incarnation, RequestID: request.Header.Get(rest.HeaderRequestID),
		Key: request.Header.Get("Idempotency-Key"), Nonce: request.Header.Get(HeaderNonce),
	})
	if err == nil {
		_, err = host.config.Runs.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err) // a run that isn't recorded would make the judgement worthless
	}
}
