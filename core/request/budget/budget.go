// Package budget bounds repeated attempts to a part of the first ones, so that
// retries can't turn a failure into an overload.
//
// # Usage
//
//	retries := budget.New(0.1, 10)
//	retries.Earn()              // on each first attempt
//	if retries.Spend() { ... }  // before each repeated one
package budget

import "sync"

// Budget is a balance of attempts. It is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	part    float64
	most    float64
	balance float64
}

// New returns a full budget that earns a part of an attempt with each first
// attempt and saves up to most.
func New(part, most float64) *Budget {
	return &Budget{part: part, most: most, balance: most}
}

// Earn counts a first attempt.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budget.most, budget.balance+budget.part)
}

// Spend takes one attempt out; it is false when there is none.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}
