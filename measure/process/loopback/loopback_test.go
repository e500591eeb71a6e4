package loopback_test

import (
	"testing"

	"carobline.dev/measure/process/loopback"
)

// TestRunsAtTheSameTimeHaveOtherAddresses guards against two runs that disturb each other.
func TestRunsAtTheSameTimeHaveOtherAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		addresses, err := loopback.Claim()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = addresses.Close() }()
		for _, number := range []int{0, 249, 250, 63_499} {
			ip := addresses.IP(number)
			if seen[ip] {
				t.Errorf("address %s is used twice", ip)
			}
			seen[ip] = true
		}
	}
}
