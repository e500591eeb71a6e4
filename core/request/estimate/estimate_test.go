package estimate_test

import (
	"testing"
	"time"

	"carobline.dev/core/request/estimate"
)

func TestUpperBound(t *testing.T) {
	var spread estimate.Estimate
	if spread.Known() {
		t.Error("known without a sample")
	}
	spread.Record(time.Second)
	if got, want := spread.Mean(), time.Second; got != want {
		t.Errorf("the mean of one sample is %v, want %v", got, want)
	}
	for range 1000 {
		spread.Record(time.Second)
		spread.Record(3 * time.Second)
	}
	if got := spread.UpperBound(0); got != spread.Mean() || got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("the mean of 1 s and 3 s is %v", got)
	}
	if got := spread.UpperBound(4); got < 5500*time.Millisecond || got > 6500*time.Millisecond {
		t.Errorf("the mean and four deviations of 1 s is %v, want 6 s", got)
	}
}
