// Package contract defines the terms under which an operator serves one client
// account. Every limit, share and priority that applies to the client account
// follows from them.
//
// # Usage
//
//	agreed, err := contract.Decode(data) // strict: unknown fields are errors
//	err = agreed.Validate()
package contract

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/field"
	"carobline.dev/core/id"
)

// Priority orders the work of client accounts when not all can be served.
type Priority string

// The priorities, from first served to last.
const (
	PriorityInteractive Priority = "interactive"
	PriorityStandard    Priority = "standard"
	PriorityBatch       Priority = "batch"
)

const (
	maxShare      = 1000
	maxDeadline   = time.Hour
	hashHexDigits = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Contract is one client account's contract as operators write it.
type Contract struct {
	ClientAccount id.ClientAccount `json:"customer"`
	// TokenSHA256 lists the SHA-256 of each bearer token, in hexadecimal.
	TokenSHA256 []string `json:"token_sha256"`
	// Share is the weight of the client account against others when capacity is
	// short.
	Share int `json:"share"`
	// Priority is interactive, standard or batch.
	Priority Priority `json:"priority"`
	// RequestsPerSecond limits calls over all entry hosts together.
	RequestsPerSecond id.Rate `json:"requests_per_second"`
	// TokensPerSecond limits prompt and generated tokens over all entry hosts
	// together.
	TokensPerSecond id.Rate `json:"tokens_per_second"`
	// Concurrency limits calls in progress over all entry hosts together.
	Concurrency int `json:"concurrency"`
	// QueuePlaces limits the calls that wait at one entry host.
	QueuePlaces int `json:"queue_places"`
	// DeadlineMS is how long a call may wait for its first token, in
	// milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// MaxTokens limits the tokens that one call may generate.
	MaxTokens id.Tokens `json:"max_tokens"`
	// Models and Services list what the client account may call.
	Models   []id.Model   `json:"models,omitempty"`
	Services []id.Service `json:"services,omitempty"`
	// DataCentres lists where its calls may be served; empty means in all data
	// centres.
	DataCentres []id.DataCentre `json:"data_centres,omitempty"`
	// NonIdempotent lists the service calls that must run at most once.
	NonIdempotent []CallPattern `json:"non_idempotent,omitempty"`
	// KeyRetentionHours is how long an answer is kept for its idempotency key;
	// 0 means the default of KeyRetention.
	KeyRetentionHours int `json:"key_retention_hours,omitempty"`
}

// CallPattern matches calls of one service by method and path prefix.
type CallPattern struct {
	Service    id.Service `json:"service"`
	Methods    []string   `json:"methods"`
	PathPrefix string     `json:"path_prefix"`
}

// Decode reads and validates one contract in JSON. Unknown fields and data after
// the contract are errors.
func Decode(data []byte) (Contract, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var contract Contract
	if err := decoder.Decode(&contract); err != nil {
		return Contract{}, errors.Wrap(err, "decode contract")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Contract{}, errors.New("decode contract: data after the contract")
	}
	return contract, contract.Validate()
}

// Validate returns a *field.Error for the first invalid field.
func (contract *Contract) Validate() error {
	if faults := contract.Faults(); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// Faults returns an error for each rule that a field breaks, in the order in which
// Validate checks them.
func (contract *Contract) Faults() []*field.Error {
	checks := []struct {
		ok      bool
		name    string
		value   any
		allowed string
	}{
		{namePattern.MatchString(string(contract.ClientAccount)), "customer", contract.ClientAccount, "1 to 63 of a-z, 0-9, '.', '_' and '-'"},
		{len(contract.TokenSHA256) > 0, "token_sha256", contract.TokenSHA256, "at least one hash"},
		{!slices.ContainsFunc(contract.TokenSHA256, invalidHash), "token_sha256", contract.TokenSHA256, "64 lower-case hexadecimal digits each"},
		{contract.Share >= 1 && contract.Share <= maxShare, "share", contract.Share, "1 to 1000"},
		{validPriority(contract.Priority), "priority", contract.Priority, "interactive, standard or batch"},
		{contract.RequestsPerSecond > 0, "requests_per_second", contract.RequestsPerSecond, "more than 0"},
		{contract.TokensPerSecond > 0, "tokens_per_second", contract.TokensPerSecond, "more than 0"},
		{contract.Concurrency >= 1, "concurrency", contract.Concurrency, "1 or more"},
		{contract.QueuePlaces >= 0, "queue_places", contract.QueuePlaces, "0 or more"},
		{contract.DeadlineMS >= 1 && contract.Deadline() <= maxDeadline, "deadline_ms", contract.DeadlineMS, "1 to 3600000"},
		{contract.MaxTokens >= 1, "max_tokens", contract.MaxTokens, "1 or more"},
		{len(contract.Models)+len(contract.Services) > 0, "models", contract.Models, "at least one model or service"},
		{contract.KeyRetentionHours >= 0 && contract.KeyRetentionHours <= 8760, "key_retention_hours", contract.KeyRetentionHours, "0 to 8760"},
	}
	var faults []*field.Error
	for _, check := range checks {
		if !check.ok {
			faults = append(faults, &field.Error{Name: check.name, Value: check.value, Allowed: check.allowed})
		}
	}
	return append(faults, contract.patternFaults()...)
}

func (contract *Contract) patternFaults() []*field.Error {
	var faults []*field.Error
	for _, pattern := range contract.NonIdempotent {
		if !slices.Contains(contract.Services, pattern.Service) {
			faults = append(faults, &field.Error{Name: "non_idempotent.service", Value: pattern.Service, Allowed: "one of the contract's services"})
		}
		if len(pattern.Methods) == 0 {
			faults = append(faults, &field.Error{Name: "non_idempotent.methods", Value: pattern.Methods, Allowed: "at least one method"})
		}
		if !strings.HasPrefix(pattern.PathPrefix, "/") {
			faults = append(faults, &field.Error{Name: "non_idempotent.path_prefix", Value: pattern.PathPrefix, Allowed: "a path that starts with '/'"})
		}
	}
	return faults
}

func invalidHash(hash string) bool {
	_, err := hex.DecodeString(hash)
	return err != nil || len(hash) != hashHexDigits || strings.ToLower(hash) != hash
}

func validPriority(priority Priority) bool {
	return slices.Contains([]Priority{PriorityInteractive, PriorityStandard, PriorityBatch}, priority)
}

// Deadline returns how long a call may wait for its first token.
func (contract *Contract) Deadline() time.Duration {
	return time.Duration(contract.DeadlineMS) * time.Millisecond
}

// KeyRetention returns how long an answer is kept for its idempotency key: 24
// hours unless KeyRetentionHours is set.
func (contract *Contract) KeyRetention() time.Duration {
	if contract.KeyRetentionHours == 0 {
		return 24 * time.Hour
	}
	return time.Duration(contract.KeyRetentionHours) * time.Hour
}

// MustNotRepeat reports whether a service call is marked non-idempotent, so that
// it must run at most once.
func (contract *Contract) MustNotRepeat(service id.Service, method, path string) bool {
	return slices.ContainsFunc(contract.NonIdempotent, func(pattern CallPattern) bool {
		return pattern.Service == service && slices.Contains(pattern.Methods, method) && strings.HasPrefix(path, pattern.PathPrefix)
	})
}
