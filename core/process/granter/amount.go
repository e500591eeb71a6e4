package granter

import "math"

const (
	// unitsPerOne is how many units of an amount make one of a limit.
	unitsPerOne = 1e6
	// unitSlack is how far from a whole number of units a quota may be by the
	// rounding of floating-point numbers alone.
	unitSlack = 0.01
)

// amount is a Quota in whole units, so that sums are exact whatever the order in
// which parts are added and taken away.
type amount struct{ requestsPerSecond, tokensPerSecond, concurrency int64 }

func roundDown(quota Quota) amount {
	units := func(value float64) int64 { return int64(math.Floor(value*unitsPerOne + unitSlack)) }
	return amount{units(quota.RequestsPerSecond), units(quota.TokensPerSecond), units(quota.Concurrency)}
}

func roundUp(quota Quota) amount {
	units := func(value float64) int64 { return int64(math.Ceil(value*unitsPerOne - unitSlack)) }
	return amount{units(quota.RequestsPerSecond), units(quota.TokensPerSecond), units(quota.Concurrency)}
}

func (a amount) quota() Quota {
	return Quota{float64(a.requestsPerSecond) / unitsPerOne, float64(a.tokensPerSecond) / unitsPerOne, float64(a.concurrency) / unitsPerOne}
}

func (a amount) plus(b amount) amount {
	return amount{a.requestsPerSecond + b.requestsPerSecond, a.tokensPerSecond + b.tokensPerSecond, a.concurrency + b.concurrency}
}

func (a amount) minus(b amount) amount {
	return amount{a.requestsPerSecond - b.requestsPerSecond, a.tokensPerSecond - b.tokensPerSecond, a.concurrency - b.concurrency}
}

func (a amount) min(b amount) amount {
	return amount{min(a.requestsPerSecond, b.requestsPerSecond), min(a.tokensPerSecond, b.tokensPerSecond), min(a.concurrency, b.concurrency)}
}

func (a amount) max(b amount) amount {
	return amount{max(a.requestsPerSecond, b.requestsPerSecond), max(a.tokensPerSecond, b.tokensPerSecond), max(a.concurrency, b.concurrency)}
}
