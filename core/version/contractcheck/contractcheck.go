// Package contractcheck finds entries of contracts that can never match and limits
// that contradict each other. It needs no network.
//
// # Usage
//
//	findings := contractcheck.Check(wanted, inForce, known)
package contractcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
)

// burst is what a rate may save up, as a time at the rate, as in package dispatcher.
const burst = time.Second

// Finding is one fault of one wanted contract.
type Finding struct {
	// Index is that of the contract among the wanted ones.
	Index         int
	ClientAccount id.ClientAccount
	Field         string
	Problem       string
}

// Known are the models and services that live hosts serve, and the data centres that
// they are in.
type Known struct {
	Models      []id.Model
	Services    []id.Service
	DataCentres []id.DataCentre
}

// Check returns the faults of the wanted contracts, in their order. The contracts in
// force are those that aren't retired; the wanted ones replace them one after another,
// since a token may pass on only after its old contract has changed. Entries are compared with known unless it is nil.
func Check(wanted, inForce []contract.Contract, known *Known) []Finding {
	findings := []Finding{}
	seen := map[id.ClientAccount]bool{}
	ownerByToken := map[string]id.ClientAccount{}
	for _, other := range inForce {
		for _, token := range other.TokenSHA256 {
			ownerByToken[token] = other.ClientAccount
		}
	}
	for index, one := range wanted {
		add := func(field, format string, arguments ...any) {
			findings = append(findings, Finding{index, one.ClientAccount, field, fmt.Sprintf(format, arguments...)})
		}
		if one.ClientAccount != "" && seen[one.ClientAccount] {
			add("customer", "another file defines the same customer")
		}
		seen[one.ClientAccount] = true
		maps.DeleteFunc(ownerByToken, func(_ string, owner id.ClientAccount) bool { return owner == one.ClientAccount })
		for _, token := range one.TokenSHA256 {
			if owner, ok := ownerByToken[token]; ok && owner != one.ClientAccount {
				add("token_sha256", "a token is already that of %s", owner)
				continue
			}
			ownerByToken[token] = one.ClientAccount
		}
		addDuplicates(add, "token_sha256", one.TokenSHA256)
		addDuplicates(add, "models", one.Models)
		addDuplicates(add, "services", one.Services)
		addDuplicates(add, "data_centres", one.DataCentres)
		for place, pattern := range one.NonIdempotent {
			if slices.ContainsFunc(one.NonIdempotent[:place], func(other contract.CallPattern) bool {
				return other.Service == pattern.Service && other.PathPrefix == pattern.PathPrefix && slices.Equal(other.Methods, pattern.Methods)
			}) {
				add("non_idempotent", "entry %d repeats another", place+1)
			}
			addDuplicates(add, "non_idempotent.methods", pattern.Methods)
		}
		if known != nil {
			addUnknown(add, "models", one.Models, known.Models)
			addUnknown(add, "services", one.Services, known.Services)
			addUnknown(add, "data_centres", one.DataCentres, known.DataCentres)
		}
		addUnusableQueue(add, one)
		addLowTokenRate(add, one)
	}
	return findings
}

func addDuplicates[Entry ~string](add func(field, format string, arguments ...any), field string, entries []Entry) {
	for index, entry := range entries {
		if slices.Contains(entries[:index], entry) {
			add(field, "entry %d repeats %q", index+1, entry)
		}
	}
}

func addUnknown[Entry ~string](add func(field, format string, arguments ...any), field string, entries, known []Entry) {
	for _, entry := range entries {
		if !slices.Contains(known, entry) {
			add(field, "no live host has %q", entry)
		}
	}
}

// addUnusableQueue reports queue places whose calls would miss the deadline even if all
// calls that the request rate allows were started as soon as it allows them.
func addUnusableQueue(add func(field, format string, arguments ...any), one contract.Contract) {
	if one.QueuePlaces <= 0 || one.DeadlineMS < 1 || one.RequestsPerSecond <= 0 {
		return
	}
	usable := float64(one.RequestsPerSecond)*(one.Deadline()+burst).Seconds() + 1
	if float64(one.QueuePlaces) > usable {
		add("queue_places", "%d places, but at most %.0f calls can start within deadline_ms %d at requests_per_second %v",
			one.QueuePlaces, usable, one.DeadlineMS, float64(one.RequestsPerSecond))
	}
}

// addLowTokenRate reports a token rate that one call can use up for longer than the
// deadline, so that the calls that come after it can't start in time.
func addLowTokenRate(add func(field, format string, arguments ...any), one contract.Contract) {
	if one.TokensPerSecond <= 0 || one.DeadlineMS < 1 {
		return
	}
	if float64(one.MaxTokens) > float64(one.TokensPerSecond)*(one.Deadline()+burst).Seconds() {
		add("tokens_per_second", "at %v, one call of max_tokens %d uses up the rate for longer than deadline_ms %d",
			float64(one.TokensPerSecond), one.MaxTokens, one.DeadlineMS)
	}
}
