// Package routing holds what operators declare about the paths that callers use:
// routes, the services behind them, the limits of callers and the tokens of
// client accounts. One declaration replaces another as a whole; the highest
// revision is in force.
//
// # Usage
//
//	err := declared.Validate()
//	table := routing.NewTable(declared)
//	route, ok := table.Match(host, path)
//	clientAccount, ok := table.Authenticate(token)
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"carobline.dev/core/field"
	"carobline.dev/core/id"
)

// Repeat is the policy of a route for sending requests again after a failure.
type Repeat string

// The repeat policies.
const (
	// RepeatSafe requests may run more than once.
	RepeatSafe Repeat = "safe"
	// RepeatNever requests run at most once per call.
	RepeatNever Repeat = "never"
	// RepeatStream requests are answered with events; only resumable streams may
	// continue at another endpoint.
	RepeatStream Repeat = "stream"
)

// Declaration is one complete set of routes and what they refer to.
type Declaration struct {
	Revision id.Revision `json:"revision"`
	Routes   []Route     `json:"routes"`
	Services []Service   `json:"services"`
	Limits   Limits      `json:"limits"`
	// ClientAccounts is nil where callers need no token. An empty list is another thing:
	// callers need one, and no caller has any.
	ClientAccounts []ClientAccount `json:"customers,omitzero"`
	// Source is the text as the operator sent it, which reads of the declaration
	// return. The deltas that nodes get from the leader leave it out.
	Source json.RawMessage `json:"source,omitempty"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Repeat     Repeat `json:"repeat"`
	// Resumable streams may continue at another endpoint after a failure.
	Resumable bool `json:"resumable,omitempty"`
	// TimeoutMS is the longest time that a caller waits, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// TargetMS is the time in milliseconds within which an answer, or its first
	// event, should come.
	TargetMS int64 `json:"target_ms"`
	// PauseMS is the longest time in milliseconds between two events that is
	// still on time.
	PauseMS int64 `json:"pause_ms,omitempty"`
	// Priority ranks the route; 0 is served first.
	Priority int `json:"priority"`
	// Attempts is the most endpoints that one call may be sent to.
	Attempts  int       `json:"attempts"`
	Anonymous bool      `json:"anonymous,omitempty"`
	Backends  []Backend `json:"backends"`
}

// Backend is one service of a route and its weight among the route's services.
type Backend struct {
	Service id.Service `json:"service"`
	Weight  float64    `json:"weight"`
}

// Service is a service that endpoints announce that they serve.
type Service struct {
	Name       id.Service `json:"name"`
	HealthPath string     `json:"health_path,omitempty"`
	// Connections is how many connections one endpoint takes from all callers.
	Connections int `json:"connections,omitempty"`
	// Engine is set for services of model engines.
	Engine *Engine `json:"engine,omitempty"`
	// ColdPerSecond is how many requests per second a cold endpoint takes, of all entry
	// hosts together. 0 stands for no limit.
	ColdPerSecond float64 `json:"cold_rate,omitempty"`
	// ColdStartMS is how long an endpoint is cold after a start, in milliseconds.
	ColdStartMS int64 `json:"cold_start_ms,omitempty"`
}

// MaxColdPerSecond is the largest Service.ColdPerSecond. No endpoint comes near that rate.
const MaxColdPerSecond = 10_000

// ColdRequests returns the whole number of requests that a cold endpoint takes in a second,
// and false where the service has no limit for cold endpoints.
func (service *Service) ColdRequests() (int, bool) {
	if !(service.ColdPerSecond > 0) {
		return 0, false
	}
	return int(min(service.ColdPerSecond, MaxColdPerSecond)), true
}

// Engine holds the performance of a service's engines and the models that they
// may serve.
type Engine struct {
	// Slots is how many requests a group runs concurrently.
	Slots  int     `json:"slots"`
	Models []Model `json:"models,omitempty"`
	// StepMS is the time of one token step in milliseconds, and StepPerRequestMS
	// what each running request adds to it.
	StepMS           float64 `json:"step_ms"`
	StepPerRequestMS float64 `json:"step_per_request_ms"`
	// PrefillTokensPerSecond is how many prompt tokens an engine reads per second.
	PrefillTokensPerSecond float64 `json:"read_per_second"`
	// StepsPerEvent is how many token steps one event of a stream covers.
	StepsPerEvent int `json:"stride"`
	// LoadsAtOnce and LoadsPerSecond limit the concurrent loads from the weight
	// store and the rate at which they start.
	LoadsAtOnce    int     `json:"loads_at_once"`
	LoadsPerSecond float64 `json:"loads_per_second"`
	// StagedModels is the number of models whose weights a host keeps.
	StagedModels int `json:"staged_models,omitempty"`
	// Usual is the size of a call whose caller doesn't state it.
	Usual Tokens `json:"usual,omitzero"`
	// Delays are those of the network between data centres.
	Delays []Delay `json:"delays,omitempty"`
}

// Tokens is a number of tokens of a call's prompt and of its answer. Zero stands for unknown.
type Tokens struct {
	Prompt float64 `json:"prompt"`
	Answer float64 `json:"answer"`
}

// Delay is the one-way delay of the network between two data centres, in either direction.
type Delay struct {
	From id.DataCentre `json:"from"`
	To   id.DataCentre `json:"to"`
	MS   float64       `json:"ms"`
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
	// LoadMS is how long a host takes to load its weights from the weight store,
	// in milliseconds.
	LoadMS int64 `json:"load_ms,omitempty"`
}

// Limits limit the size of what a caller may send and the time that it may take.
type Limits struct {
	HeaderBytes     int   `json:"header_bytes,omitempty"`
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// ClientAccount is a client account and the tokens that authenticate it.
type ClientAccount struct {
	Name        id.ClientAccount `json:"name"`
	TokenSHA256 []string         `json:"token_sha256"`
	// Priority replaces the route's when it is set.
	Priority *int `json:"priority,omitempty"`
}

// Timeout returns the longest time that a caller waits.
func (route *Route) Timeout() time.Duration { return time.Duration(route.TimeoutMS) * time.Millisecond }

// Target returns the time within which an answer, or its first event, should
// come.
func (route *Route) Target() time.Duration { return time.Duration(route.TargetMS) * time.Millisecond }

// Idempotent reports whether a call of the route may run more than once.
func (route *Route) Idempotent() bool {
	return route.Repeat == RepeatSafe || (route.Repeat == RepeatStream && route.Resumable)
}

func fieldError(name string, value any, allowed string) error {
	return &field.Error{Name: name, Value: value, Allowed: allowed}
}

// Validate returns a *field.Error for the first invalid field.
func (declaration *Declaration) Validate() error {
	services := map[id.Service]bool{}
	for _, service := range declaration.Services {
		if service.Name == "" || services[service.Name] {
			return fieldError("services", service.Name, "a name of its own")
		}
		services[service.Name] = true
		if !(service.ColdPerSecond >= 0 && service.ColdPerSecond <= MaxColdPerSecond) {
			return fieldError("services."+string(service.Name)+".cold_rate", service.ColdPerSecond, fmt.Sprintf("0 to %d", MaxColdPerSecond))
		}
		if service.ColdStartMS < 0 {
			return fieldError("services."+string(service.Name)+".cold_start_ms", service.ColdStartMS, "0 or more")
		}
	}
	seen := map[[2]string]bool{}
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		if err := route.validate(services); err != nil {
			return err
		}
		key := [2]string{strings.ToLower(route.Host), route.PathPrefix}
		if seen[key] {
			return fieldError("routes."+route.Name, key, "a host and path prefix of its own")
		}
		seen[key] = true
	}
	return declaration.validateClientAccounts()
}

func (route *Route) validate(services map[id.Service]bool) error {
	name := "routes." + route.Name
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return fieldError(name+".path_prefix", route.PathPrefix, "a slash at both ends")
	}
	if route.TimeoutMS <= 0 {
		return fieldError(name+".timeout_ms", route.TimeoutMS, "1 or more")
	}
	if !slices.Contains([]Repeat{RepeatSafe, RepeatNever, RepeatStream}, route.Repeat) {
		return fieldError(name+".repeat", route.Repeat, "safe, never or stream")
	}
	total := 0.0
	for _, backend := range route.Backends {
		if !services[backend.Service] {
			return fieldError(name+".backends", backend.Service, "a declared service")
		}
		if backend.Weight < 0 {
			return fieldError(name+".backends", backend.Weight, "a weight of 0 or more")
		}
		total += backend.Weight
	}
	if total <= 0 {
		return fieldError(name+".backends", total, "weights that add up to more than 0")
	}
	return nil
}

func (declaration *Declaration) validateClientAccounts() error {
	ownerByHash := map[string]id.ClientAccount{}
	for _, clientAccount := range declaration.ClientAccounts {
		for _, hash := range clientAccount.TokenSHA256 {
			if owner, taken := ownerByHash[hash]; taken && owner != clientAccount.Name {
				return fieldError("customers."+string(clientAccount.Name), owner, "tokens that no other customer has")
			}
			ownerByHash[hash] = clientAccount.Name
		}
	}
	return nil
}

// Service returns a declared service, or false when there is none of the name.
func (declaration *Declaration) Service(name id.Service) (*Service, bool) {
	for index := range declaration.Services {
		if declaration.Services[index].Name == name {
			return &declaration.Services[index], true
		}
	}
	return nil, false
}

// Table is an index of one declaration. It never changes.
type Table struct {
	declaration *Declaration
	// routesByHost holds the routes of each host in lower case, the longest
	// prefix first.
	routesByHost             map[string][]*Route
	clientAccountByTokenHash map[[sha256.Size]byte]*ClientAccount
	enginePriorities         []int
	ranksEngineCalls         bool
}

// NewTable indexes a declaration.
func NewTable(declaration *Declaration) *Table {
	table := &Table{declaration: declaration, routesByHost: map[string][]*Route{}, clientAccountByTokenHash: map[[sha256.Size]byte]*ClientAccount{}}
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		host := strings.ToLower(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
	}
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	table.enginePriorities, table.ranksEngineCalls = declaration.enginePriorities(), declaration.ranksEngineCalls()
	for index := range declaration.ClientAccounts {
		clientAccount := &declaration.ClientAccounts[index]
		for _, text := range clientAccount.TokenSHA256 {
			var hash [sha256.Size]byte
			if _, err := hex.Decode(hash[:], []byte(text)); err == nil {
				table.clientAccountByTokenHash[hash] = clientAccount
			}
		}
	}
	return table
}

// Declaration returns the declaration that the table indexes.
func (table *Table) Declaration() *Declaration { return table.declaration }

// EnginePriorities returns the priorities that calls to services of engines may have, sorted.
func (table *Table) EnginePriorities() []int { return table.enginePriorities }

// enginePriorities returns the priorities of routes to services of engines and of client
// accounts, sorted.
func (declaration *Declaration) enginePriorities() []int {
	var priorities []int
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		for _, backend := range route.Backends {
			if service, ok := declaration.Service(backend.Service); ok && service.Engine != nil && backend.Weight > 0 {
				priorities = append(priorities, route.Priority)
			}
		}
	}
	if len(priorities) == 0 {
		return nil
	}
	for _, clientAccount := range declaration.ClientAccounts {
		if clientAccount.Priority != nil {
			priorities = append(priorities, *clientAccount.Priority)
		}
	}
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// RanksEngineCalls reports whether the routes to services of engines differ in priority, so that
// some calls to engines are less urgent than others whoever sends them.
func (table *Table) RanksEngineCalls() bool { return table.ranksEngineCalls }

// ranksEngineCalls reports whether the routes to services of engines differ in priority.
func (declaration *Declaration) ranksEngineCalls() bool {
	first, found := 0, false
	for index := range declaration.Routes {
		route := &declaration.Routes[index]
		toEngines := slices.ContainsFunc(route.Backends, func(backend Backend) bool {
			service, ok := declaration.Service(backend.Service)
			return ok && service.Engine != nil && backend.Weight > 0
		})
		if !toEngines {
			continue
		}
		if found && route.Priority != first {
			return true
		}
		first, found = route.Priority, true
	}
	return false
}

// Match returns the route of a host with the longest prefix of a path, or false
// when there is none. A port in the host is ignored.
func (table *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := table.routesByHost[host]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = table.routesByHost[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// RequiresToken reports whether a call needs the token of a client account, since the
// declaration lists them, if only as none.
func (table *Table) RequiresToken() bool { return table.declaration.ClientAccounts != nil }

// Authenticate returns the client account that holds a token, or false when there
// is none.
func (table *Table) Authenticate(token string) (*ClientAccount, bool) {
	clientAccount, ok := table.clientAccountByTokenHash[sha256.Sum256([]byte(token))]
	return clientAccount, ok
}

// Pick chooses a backend at random by weight; random is uniform in [0, 1). A backend with a weight
// of 0 is never chosen.
func (route *Route) Pick(random float64) id.Service {
	total := 0.0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	remaining := random * total
	var last id.Service
	for _, backend := range route.Backends {
		if backend.Weight == 0 {
			continue
		}
		if remaining < backend.Weight {
			return backend.Service
		}
		remaining -= backend.Weight
		last = backend.Service
	}
	// Rounding, or a sum beyond the range of a float64, left no backend.
	return last
}
