// Package id holds the named types for identities, counters and units that
// several packages share.
//
// # Usage
//
// The types are distinct, so that a function that takes an id.Host can't be
// passed an id.Node by mistake.
//
//	var host id.Host = "h-17"
//	var fencing id.FencingToken = 42
package id

// Node names one carobline process on an entry host.
type Node string

// Incarnation numbers the starts of a process; it rises with each one.
type Incarnation uint64

// Host names one machine that runs a part of a model engine or a plain service.
type Host string

// Group names one replica of a model that spans several hosts.
type Group string

// Domain names a fabric domain: hosts that share one fast network fabric.
type Domain string

// DataCentre names a data centre.
type DataCentre string

// ClientAccount names the holder of one contract.
type ClientAccount string

// Model names a model that callers ask for.
type Model string

// Service names a plain service, or a service of model engines.
type Service string

// Change identifies one request to change state, so that a resend is recognised.
type Change string

// Request identifies one request of a caller.
type Request string

// PromptPart names one part of a prompt, which several requests may share.
type PromptPart string

// PartsBlock names one block of parts of prompts.
type PartsBlock string

// Stop identifies one planned stop.
type Stop string

// Term numbers the terms of leaders of the replicated log.
type Term uint64

// Index numbers the entries of the replicated log.
type Index uint64

// Revision numbers the changes of one contract, from 1.
type Revision uint64

// Version is the log index of the last change that a view holds.
type Version uint64

// FencingToken orders the assignments of hosts to groups; a larger one supersedes
// a smaller one.
type FencingToken uint64

// OrderNumber numbers the orders of all leaders to engines; an engine refuses an order
// with a smaller number than the last that it has carried out.
type OrderNumber uint64

// Tokens counts model tokens.
type Tokens int64

// Rate is a number of units per second.
type Rate float64
