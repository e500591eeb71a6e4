// Package id holds the named types for identities, counters and units that
// cross package borders.
//
// # Usage
//
// A value of one type never stands in for another: a function that takes an
// id.Host can't be handed an id.Node by mistake.
//
//	var host id.Host = "h-17"
//	var fencing id.Fencing = 42
package id

// Node names one carobline process on an entry host.
type Node string

// Incarnation tells one life of a process from the next; it rises with each
// start.
type Incarnation uint64

// Host names one machine that runs a part of a model engine or a service.
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

// Service names a plain service that stands beside the model engines.
type Service string

// Change identifies one request to change state, so that a resend is known.
type Change string

// Request identifies one call of a caller.
type Request string

// Stop names one planned stop.
type Stop string

// Term numbers the reigns of leaders of the replicated log.
type Term uint64

// Index numbers the entries of the replicated log.
type Index uint64

// Revision numbers the changes of one contract, from 1.
type Revision uint64

// Version is the log index of the last change that a view holds.
type Version uint64

// FencingToken orders the assignments of hosts; a larger number wins.
type FencingToken uint64

// Tokens counts model tokens.
type Tokens int64

// Rate is a number of units in a second.
type Rate float64
