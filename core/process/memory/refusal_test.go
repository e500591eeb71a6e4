package memory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobline.dev/core/process/memory"
)

// BenchmarkRefusal measures a refusal while so many charges of a tenth as many holders fill the account. None of them
// gives way: they make progress, and no holder holds more than the one that asks would.
func BenchmarkRefusal(b *testing.B) {
	for _, count := range []int{400, 4000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			const chargeBytes = 1 << 20
			account := memory.New(memory.Config{Memory: memory.Bytes(4*count) * chargeBytes})
			for number := range count {
				charge := account.Open(endpoint(number%(count/10)), fmt.Sprint(number), func(bool) {})
				if err := charge.Resize(start, chargeBytes); err != nil {
					b.Fatal(err)
				}
			}
			asker := account.Open(caller("asker"), "asker", func(bool) {})
			for b.Loop() {
				if asker.Resize(start, memory.Bytes(count/10)*chargeBytes) == nil {
					b.Fatal("the charge fits")
				}
			}
		})
	}
}

// Guards against sums by holder that come apart from the charges, so that the wrong ones give way: charges of all states,
// and times that come out of order.
func TestSumsByHolderAreThoseOfTheCharges(t *testing.T) {
	const steps, holders, most = 3000, 5, 40
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		account := memory.New(memory.Config{Memory: 64 * mebibyte})
		var charges []*memory.Charge
		now, refused := start, 0
		for step := range steps {
			now = now.Add(time.Duration(random.Int64N(int64(memory.StallTime / 4))))
			at := now.Add(-time.Duration(random.Int64N(int64(memory.StallTime / 8))))
			if len(charges) < most {
				charges = append(charges, account.Open(endpoint(random.IntN(holders)), fmt.Sprint(step), func(bool) {}))
			}
			index := random.IntN(len(charges))
			charge := charges[index]
			switch random.IntN(12) {
			case 0:
				charge.Keep()
			case 1:
				charge.Progress(at)
			case 2:
				charge.Transfer(at, endpoint(random.IntN(holders)), func(bool) {})
			case 3:
				charge.Transfer(at, endpoint(random.IntN(holders)), nil)
			case 4:
				charge.Close()
				charges[index] = charges[len(charges)-1]
				charges = charges[:len(charges)-1]
			default:
				if charge.Resize(at, memory.Bytes(random.Int64N(int64(4*mebibyte)))) != nil {
					refused++
				}
			}
			if err := account.CheckSums(now); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
		}
		if state := account.State(); refused < steps/100 || state.Ended < steps/100 {
			t.Errorf("seed %d: %d refused, %d ended; want more of each", seed, refused, state.Ended)
		}
	}
}
