// Package callers makes calls all the time, over connections that are kept as long as the
// process at their other end lives, and records what was answered.
//
// # Usage
//
//	callers := callers.New(callers.Config{Seed: 7, Entries: urls, Token: "...", Rotating: operators.Token})
//	callers.Run(ctx)
//	calls := callers.Calls()
package callers

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"carobline.dev/soak/process/judge"
)

const (
	// callTimeout is when a caller leaves, and leaveChance how often it leaves early.
	callTimeout = 8 * time.Second
	leaveChance = 0.04
	// stayCalls is the mean number of calls at one entry host.
	stayCalls = 15
	// maxPause is the longest time between two calls of one caller.
	maxPause = 40 * time.Millisecond
	// maxSends bounds how often a booking is sent before its caller gives up.
	maxSends = 4
)

// Config is fixed for the life of the callers.
type Config struct {
	Seed    uint64
	Entries []string
	// Token is that of a contract whose token stays.
	Token string
	// Rotating returns a token of the contract whose tokens change, and its generation.
	Rotating func(random *rand.Rand) (generation int, token string)
	Now      func() time.Time
}

// Callers are all callers. They are safe for concurrent use.
type Callers struct {
	config Config

	mutex sync.Mutex
	calls []judge.Call
	tries int
}

// New returns callers that haven't called yet.
func New(config Config) *Callers { return &Callers{config: config} }

// kindsByCaller lists what each caller calls. One with Stock in second place uses the contract
// whose tokens change.
var kindsByCaller = []judge.Kind{
	judge.Booking, judge.Booking, judge.Booking, judge.Booking, judge.Quote, judge.Quote, judge.Quote, judge.Quote, judge.Quote, judge.Stock, judge.Stock,
	judge.Stream, judge.Stream, judge.Stream, judge.Stream, judge.Whole, judge.Whole,
}

// rotatingCallers is how many callers use the contract whose tokens change.
const rotatingCallers = 4

// Run calls until ctx is cancelled and the last answer has come.
func (callers *Callers) Run(ctx context.Context) {
	var running sync.WaitGroup
	for index := range len(kindsByCaller) + rotatingCallers {
		caller := &caller{
			callers: callers, name: fmt.Sprintf("c%d", index), kind: judge.Stock, rotating: index >= len(kindsByCaller),
			random: rand.New(rand.NewPCG(callers.config.Seed, uint64(1000+index))), transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4},
		}
		if !caller.rotating {
			caller.kind = kindsByCaller[index]
		}
		running.Go(func() { caller.run(ctx) })
	}
	running.Wait()
}

// Try makes one call of a kind at a drawn entry host and returns whether it was answered.
func (callers *Callers) Try(kind judge.Kind) bool {
	callers.mutex.Lock()
	callers.tries++
	name := fmt.Sprintf("try%d", callers.tries)
	callers.mutex.Unlock()
	caller := &caller{callers: callers, name: name, kind: kind, random: rand.New(rand.NewPCG(callers.config.Seed, rand.Uint64())), transport: &http.Transport{DisableKeepAlives: true}}
	caller.chooseEntry()
	call := judge.Call{Kind: kind, Nonce: name}
	if kind == judge.Booking {
		call.Key = "key-" + name
	}
	answered := caller.send(call) == http.StatusOK
	if !answered {
		time.Sleep(maxPause)
	}
	return answered
}

// Resend sends the bookings whose answer isn't known once more, at most limit of them.
func (callers *Callers) Resend(limit int) {
	unresolved := map[string]judge.Call{}
	for _, call := range callers.Calls() {
		if call.Kind == judge.Booking {
			unresolved[call.Key] = judge.Call{Kind: call.Kind, Key: call.Key, Nonce: call.Nonce}
		}
	}
	for _, call := range callers.Calls() {
		if call.Status == http.StatusOK {
			delete(unresolved, call.Key)
		}
	}
	again := &caller{callers: callers, random: rand.New(rand.NewPCG(callers.config.Seed, 0)), transport: &http.Transport{DisableKeepAlives: true}}
	for _, key := range slices.Sorted(maps.Keys(unresolved))[:min(limit, len(unresolved))] {
		again.entry = ""
		again.chooseEntry()
		again.send(unresolved[key])
	}
}

// Calls returns what was called so far.
func (callers *Callers) Calls() []judge.Call {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return slices.Clone(callers.calls)
}

func (callers *Callers) record(call judge.Call) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.calls = append(callers.calls, call)
}

// caller makes one call after the other.
type caller struct {
	callers   *Callers
	name      string
	kind      judge.Kind
	rotating  bool
	random    *rand.Rand
	transport *http.Transport
	entry     string
	number    int
}

func (caller *caller) run(ctx context.Context) {
	defer caller.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		caller.number++
		caller.call(ctx, judge.Call{Kind: caller.kind, Nonce: fmt.Sprintf("%s-%d", caller.name, caller.number)})
		caller.pause(ctx)
	}
}

func (caller *caller) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(caller.random.Int64N(int64(maxPause)))):
	}
}

// chooseEntry stays at an entry host for some calls, whatever it answers.
func (caller *caller) chooseEntry() {
	if caller.entry == "" || caller.random.IntN(stayCalls) == 0 {
		caller.entry = caller.callers.config.Entries[caller.random.IntN(len(caller.callers.config.Entries))]
	}
}

// call makes one call. A booking is sent again, here or elsewhere, until its answer is known.
func (caller *caller) call(ctx context.Context, call judge.Call) {
	if call.Kind != judge.Booking {
		caller.chooseEntry()
		caller.send(call)
		return
	}
	call.Key = "key-" + call.Nonce
	for range maxSends {
		caller.chooseEntry()
		if status := caller.send(call); status == http.StatusOK || status == http.StatusUnauthorized {
			return
		}
		if caller.random.IntN(2) == 0 {
			caller.entry = ""
		}
		caller.pause(ctx)
	}
}

// send sends a call once, records it, and returns the status.
func (caller *caller) send(call judge.Call) int {
	config := caller.callers.config
	timeout := callTimeout
	if caller.random.Float64() < leaveChance {
		timeout = time.Duration(caller.random.Int64N(int64(300 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	token := config.Token
	if caller.rotating {
		call.Generation, token = config.Rotating(caller.random)
	}
	call.Entry = caller.entry
	request, err := newRequest(ctx, &call, token, caller.random)
	if err != nil {
		panic(err) // the URLs are our own
	}
	call.SentAt = config.Now()
	exchange(caller.transport, request, &call)
	call.EndedAt = config.Now()
	caller.callers.record(call)
	return call.Status
}
