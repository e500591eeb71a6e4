// Package budget is a retry budget. It limits retries to a fraction of the first
// attempts, so that retries can't turn a failure into an overload.
//
// # Usage
//
//	retries := budget.New(0.1, 10)
//	retries.Earn()              // on each first attempt
//	if retries.Spend() { ... }  // before each retry
//	retries.Refund()            // for a retry that wasn't made after all
package budget

import "sync"

// Budget is a balance of retries. It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	ratio    float64
	capacity float64
	balance  float64
}

// New returns a full budget that earns ratio retries with each first attempt and
// saves up to capacity retries.
func New(ratio, capacity float64) *Budget {
	return &Budget{ratio: ratio, capacity: capacity, balance: capacity}
}

// SetCapacity changes how many retries are saved at most.
func (budget *Budget) SetCapacity(capacity float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.capacity, budget.balance = capacity, min(capacity, budget.balance)
}

// Earn counts a first attempt.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budget.capacity, budget.balance+budget.ratio)
}

// Spend takes one retry from the budget; it returns false when less than one is
// left.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}

// Refund returns a retry that was taken and not made.
func (budget *Budget) Refund() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budget.capacity, budget.balance+1)
}
