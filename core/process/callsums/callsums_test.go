package callsums_test

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/process/callsums"
	"carobline.dev/core/process/feed"
)

func TestANodesCallsAreReplacedAndCopiedAtIntervals(t *testing.T) {
	now, sums, endpoint := time.Now(), callsums.New(), feed.Endpoint{Group: "g"}
	own := map[feed.Endpoint]int{endpoint: 2}
	sums.Replace(nil, own)
	sums.Replace(nil, map[feed.Endpoint]int{endpoint: 3})
	first := sums.At(now)
	if counts := fmt.Sprint(first.Elsewhere(nil)); counts != "map[{g }:5]" {
		t.Fatalf("sums are %s, want 5 calls", counts)
	}
	sums.Replace(own, nil)
	if sums.At(now.Add(19*time.Millisecond)) != first {
		t.Error("a copy that is recent enough was taken again")
	}
	if counts := fmt.Sprint(sums.At(now.Add(20 * time.Millisecond)).Elsewhere(nil)); counts != "map[{g }:3]" {
		t.Errorf("sums are %s after one node's calls have ended, want 3 calls", counts)
	}
}
