package budget_test

import (
	"testing"

	"carobline.dev/core/request/budget"
)

// Guards against retries that are lost since no endpoint took them, and against a budget
// that grows by those that are returned.
func TestRefund(t *testing.T) {
	retries := budget.New(0.1, 1)
	for round := range 3 {
		if !retries.Spend() {
			t.Fatalf("round %d: nothing left, want the retry that was returned", round)
		}
		retries.Refund()
	}
	retries.Refund()
	if !retries.Spend() || retries.Spend() {
		t.Error("want one retry and no more")
	}
}
