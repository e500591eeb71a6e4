// Package operators changes contracts and stops hosts and nodes through the operators'
// interface, and reads what it receives, while all else goes on.
//
// # Usage
//
//	operators := operators.New(operators.Config{URLs: urls, Token: "...", Now: time.Now})
//	err := operators.Found(ctx)
//	operators.Rotate(ctx)
//	operators.ReadUntil(ctx)
//	operators.Fill(&records)
package operators

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
	"carobline.dev/soak/process/cluster"
	"carobline.dev/soak/process/judge"
)

const (
	// requestTimeout is longer than an entry host waits until a change is in force.
	requestTimeout = 17 * time.Second
	readInterval   = 300 * time.Millisecond
	retryWait      = 100 * time.Millisecond
	// maxTries bounds how often a change is sent to all entry hosts.
	maxTries = 3
	// steadyAccount has a token that stays, and rotatingAccount one that changes.
	steadyAccount   id.ClientAccount = "kathmandu"
	rotatingAccount id.ClientAccount = "lakeshore"
	// SteadyToken is the token of the contract whose token stays.
	SteadyToken = "kathmandu-soak-token"
)

// Config is fixed for the life of the operators.
type Config struct {
	// URLs are the base URLs of the operators' interfaces.
	URLs  []string
	Token string
	Now   func() time.Time
}

// Operators are all operators. They are safe for concurrent use.
type Operators struct {
	config Config

	// rotating and steady are held during a change of that contract. The bases are 0 while
	// they aren't known.
	rotating       sync.Mutex
	rotatingBase   id.Revision
	rotatingExists bool
	steady         sync.Mutex
	steadyBase     id.Revision
	concurrency    int

	mutex      sync.Mutex
	number     int
	generation int
	changes    []judge.Change
	stops      []judge.Stop
	reads      []judge.Read
}

// New returns operators that haven't changed anything.
func New(config Config) *Operators { return &Operators{config: config} }

// token returns the token of a generation.
func token(generation int) string { return fmt.Sprintf("lakeshore-soak-token-%d", generation) }

// Token draws a token of the contract whose tokens change: mostly the newest, else an
// older one.
func (operators *Operators) Token(random *rand.Rand) (int, string) {
	const oldChance = 0.25
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	generation := operators.generation
	if generation > 1 && random.Float64() < oldChance {
		generation -= 1 + random.IntN(min(3, generation-1))
	}
	return generation, token(generation)
}

// Fill adds what was changed and read to the records.
func (operators *Operators) Fill(records *judge.Records) {
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	records.Changes, records.Stops, records.Reads = operators.changes, operators.stops, operators.reads
}

// client returns a client that begins with another entry host each time.
func (operators *Operators) client() *operator.Client {
	operators.mutex.Lock()
	operators.number++
	first := operators.number % len(operators.config.URLs)
	operators.mutex.Unlock()
	urls := append(append([]string{}, operators.config.URLs[first:]...), operators.config.URLs[:first]...)
	return operator.New(urls, rest.NewClient(&http.Client{Timeout: requestTimeout}, operators.config.Token))
}

func (operators *Operators) newChange() id.Change {
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	operators.number++
	return id.Change(fmt.Sprintf("soak-%d", operators.number))
}

// Found makes both contracts. It tries until that has succeeded or ctx is cancelled.
func (operators *Operators) Found(ctx context.Context) error {
	for ctx.Err() == nil {
		operators.Tune(ctx)
		operators.Rotate(ctx)
		operators.mutex.Lock()
		founded := operators.rotatingExists && len(operators.changes) > 0
		operators.mutex.Unlock()
		if founded && operators.steadyBase > 0 {
			return nil
		}
		time.Sleep(retryWait)
	}
	return errors.Wrap(ctx.Err(), "make the contracts")
}

// newContract returns a contract with limits that don't bind.
func newContract(account id.ClientAccount, token string, concurrency int) contract.Contract {
	return contract.Contract{
		ClientAccount: account, TokenSHA256: []string{cluster.TokenHash(token)}, Share: 1, Priority: contract.PriorityInteractive,
		RequestsPerSecond: 10_000, TokensPerSecond: 1_000_000, Concurrency: concurrency, QueuePlaces: 500, DeadlineMS: 3000, MaxTokens: 1000,
		Models: []id.Model{cluster.Model}, Services: []id.Service{cluster.Service},
		NonIdempotent: []contract.CallPattern{{Service: cluster.Service, Methods: []string{http.MethodPost}, PathPrefix: "/bookings"}},
	}
}
