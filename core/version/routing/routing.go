// Package routing holds what operators declare of the paths that callers use:
// routes, the services behind them, the limits of callers and the tokens of
// customers. One declaration replaces another as a whole; the highest revision
// is in force.
//
// # Usage
//
//	err := declared.Validate()
//	table := routing.NewTable(declared)
//	route, ok := table.Match(host, path)
//	customer, ok := table.Authenticate(token)
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"carobline.dev/core/field"
	"carobline.dev/core/id"
)

// Repeat says what may be sent again after a failure.
type Repeat string

// The kinds of routes.
const (
	// RepeatSafe requests may run more than once.
	RepeatSafe Repeat = "safe"
	// RepeatNever requests run at most once for each call.
	RepeatNever Repeat = "never"
	// RepeatStream answers with events; only a resumable one may go on at
	// another endpoint.
	RepeatStream Repeat = "stream"
)

// Declaration is one complete set of routes and what they refer to.
type Declaration struct {
	Revision       id.Revision     `json:"revision"`
	Routes         []Route         `json:"routes"`
	Services       []Service       `json:"services"`
	Limits         Limits          `json:"limits"`
	ClientAccounts []ClientAccount `json:"customers,omitempty"`
	// Source is the text as the operator sent it, which reads return. Nodes
	// that only follow don't get it.
	Source json.RawMessage `json:"source,omitempty"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Repeat     Repeat `json:"repeat"`
	// Resumable streams may go on at another endpoint after a break.
	Resumable bool `json:"resumable,omitempty"`
	// TimeoutMS is the longest time that a caller is kept waiting.
	TimeoutMS int64 `json:"timeout_ms"`
	// TargetMS is within what time an answer, or its first event, should come.
	TargetMS int64 `json:"target_ms"`
	// PauseMS is the longest pause between events that is still on time.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// Priority ranks the route; 0 is the first.
	Priority int `json:"priority"`
	// Attempts bounds the endpoints that one call may be sent to.
	Attempts  int       `json:"attempts"`
	Anonymous bool      `json:"anonymous,omitempty"`
	Backends  []Backend `json:"backends"`
}

// Backend is one service of a route and its part of the route's calls.
type Backend struct {
	Service id.Service `json:"service"`
	Weight  float64    `json:"weight"`
}

// Service is what endpoints announce that they serve.
type Service struct {
	Name       id.Service `json:"name"`
	HealthPath string     `json:"health_path,omitempty"`
	// Connections is how many connections one endpoint takes from all callers.
	Connections int `json:"connections,omitempty"`
	// Engine is set for services of model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine says how the engines of a service behave.
type Engine struct {
	// Slots is how many requests a group runs at once.
	Slots  int     `json:"slots"`
	Models []Model `json:"models,omitempty"`
	// StepMS and StepPerRequestMS give the time of one token step.
	StepMS           float64 `json:"step_ms"`
	StepPerRequestMS float64 `json:"step_per_request_ms"`
	// PrefillTokensPerSecond is how many prompt tokens an engine reads in a second.
	PrefillTokensPerSecond float64 `json:"read_per_second"`
	// StepsPerEvent is how many token steps one event stands for.
	StepsPerEvent int `json:"stride"`
	// LoadsAtOnce and LoadsPerSecond bound the loads of the weight store.
	LoadsAtOnce    int     `json:"loads_at_once"`
	LoadsPerSecond float64 `json:"loads_per_second"`
	// StagedModels is how many models a host keeps the weights of.
	StagedModels int `json:"staged_models,omitempty"`
}

// Model is one model of a service of engines.
type Model struct {
	Name id.Model `json:"name"`
	// Hosts is how many engines form one replica.
	Hosts int `json:"hosts"`
	// Pace is a factor on all times of a replica.
	Pace float64 `json:"pace"`
	// Share is the model's part of the work.
	Share float64 `json:"share"`
	// LoadMS is how long its weights take from the weight store to a host.
	LoadMS int64 `json:"load_ms,omitempty"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes     int   `json:"header_bytes,omitempty"`
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// ClientAccount is a client account and the tokens that name it.
type ClientAccount struct {
	Name        id.ClientAccount `json:"name"`
	TokenSHA256 []string         `json:"token_sha256"`
	// Priority goes before the route's when it is set.
	Priority *int `json:"priority,omitempty"`
}

// Timeout is the longest time that a caller is kept waiting.
func (route *Route) Timeout() time.Duration { return time.Duration(route.TimeoutMS) * time.Millisecond }

// Target is within what time an answer, or its first event, should come.
func (route *Route) Target() time.Duration { return time.Duration(route.TargetMS) * time.Millisecond }

// Idempotent tells whether a call of the route may run more than once.
func (route *Route) Idempotent() bool {
	return route.Repeat == RepeatSafe || (route.Repeat == RepeatStream && route.Resumable)
}

func bad(name string, value any, allowed string) error {
	return &field.Error{Name: name, Value: value, Allowed: allowed}
}

// Validate returns what is wrong with a declaration, naming the field.
func (declaration *Declaration) Validate() error {
	services := map[id.Service]bool{}
	for _, service := range declaration.Services {
		if service.Name == "" || services[service.Name] {
			return bad("services", service.Name, "a name of its own")
		}
		services[service.Name] = true
	}
	places := map[[2]string]bool{}
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		if err := route.validate(services); err != nil {
			return err
		}
		place := [2]string{strings.ToLower(route.Host), route.PathPrefix}
		if places[place] {
			return bad("routes."+route.Name, place, "a host and path prefix of its own")
		}
		places[place] = true
	}
	return declaration.validateClientAccounts()
}

func (route *Route) validate(services map[id.Service]bool) error {
	name := "routes." + route.Name
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return bad(name+".path_prefix", route.PathPrefix, "a slash at both ends")
	}
	if route.TimeoutMS <= 0 {
		return bad(name+".timeout_ms", route.TimeoutMS, "1 or more")
	}
	if !slices.Contains([]Repeat{RepeatSafe, RepeatNever, RepeatStream}, route.Repeat) {
		return bad(name+".repeat", route.Repeat, "safe, never or stream")
	}
	total := 0.0
	for _, backend := range route.Backends {
		if !services[backend.Service] {
			return bad(name+".backends", backend.Service, "a declared service")
		}
		if backend.Weight < 0 {
			return bad(name+".backends", backend.Weight, "a weight of 0 or more")
		}
		total += backend.Weight
	}
	if total <= 0 {
		return bad(name+".backends", total, "weights that add up to more than 0")
	}
	return nil
}

func (declaration *Declaration) validateClientAccounts() error {
	owners := map[string]id.ClientAccount{}
	for _, clientAccount := range declaration.ClientAccounts {
		for _, hash := range clientAccount.TokenSHA256 {
			if owner, taken := owners[hash]; taken && owner != clientAccount.Name {
				return bad("customers."+string(clientAccount.Name), owner, "tokens that no other customer has")
			}
			owners[hash] = clientAccount.Name
		}
	}
	return nil
}

// Service finds a declared service.
func (declaration *Declaration) Service(name id.Service) (*Service, bool) {
	for index := range declaration.Services {
		if declaration.Services[index].Name == name {
			return &declaration.Services[index], true
		}
	}
	return nil, false
}

// Table answers questions about one declaration. It never changes.
type Table struct {
	declaration *Declaration
	// hosts holds the routes of each host, the longest prefix first.
	hosts  map[string][]*Route
	tokens map[[sha256.Size]byte]*ClientAccount
}

// NewTable indexes a declaration.
func NewTable(declaration *Declaration) *Table {
	table := &Table{declaration: declaration, hosts: map[string][]*Route{}, tokens: map[[sha256.Size]byte]*ClientAccount{}}
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for index := range declaration.ClientAccounts {
		clientAccount := &declaration.ClientAccounts[index]
		for _, text := range clientAccount.TokenSHA256 {
			var hash [sha256.Size]byte
			if _, err := hex.Decode(hash[:], []byte(text)); err == nil {
				table.tokens[hash] = clientAccount
			}
		}
	}
	return table
}

// Declaration is what the table was made of.
func (table *Table) Declaration() *Declaration { return table.declaration }

// Match finds the route of a host with the longest prefix that begins a path.
// A port in the host is left aside.
func (table *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := table.hosts[host]
	if !ok {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			routes = table.hosts[bare]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// RequiresToken tells whether the declaration names customers, so that a call
// needs the token of one.
func (table *Table) RequiresToken() bool { return len(table.declaration.ClientAccounts) > 0 }

// Authenticate finds the customer that holds a token.
func (table *Table) Authenticate(token string) (*ClientAccount, bool) {
	clientAccount, ok := table.tokens[sha256.Sum256([]byte(token))]
	return clientAccount, ok
}

// Pick chooses a backend by weight; spin is uniform in [0, 1).
func (route *Route) Pick(spin float64) id.Service {
	total := 0.0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	mark := spin * total
	for _, backend := range route.Backends {
		if mark < backend.Weight {
			return backend.Service
		}
		mark -= backend.Weight
	}
	return route.Backends[len(route.Backends)-1].Service
}
