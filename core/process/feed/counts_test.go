package feed_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
)

// Guards against entry hosts that count their own calls as those of others, or the calls
// of others not at all.
func TestCallCountsElsewhereLeaveOutTheNodesOwn(t *testing.T) {
	first, second, third := feed.Endpoint{Group: "g1"}, feed.Endpoint{Group: "g2"}, feed.Endpoint{Host: "h"}
	sent := feed.Response{RunningByEndpoint: feed.NewCallCounts(map[feed.Endpoint]int{first: 5, second: 2, third: 1})}
	data, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received feed.Response
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	// The node may have reported a call more than the counts hold.
	own := map[feed.Endpoint]int{first: 2, second: 3}
	if diff := cmp.Diff(map[feed.Endpoint]int{first: 3, third: 1}, received.RunningByEndpoint.Elsewhere(own)); diff != "" {
		t.Error(diff)
	}
	var none *feed.CallCounts
	if elsewhere := none.Elsewhere(own); len(elsewhere) > 0 {
		t.Errorf("%v of no counts, want none", elsewhere)
	}
}

// Guards against a leader that encodes the same counts for each of hundreds of entry hosts.
func TestCallCountsAreEncodedOnceForAllResponses(t *testing.T) {
	byEndpoint := map[feed.Endpoint]int{}
	for index := range 200 {
		byEndpoint[feed.Endpoint{Host: id.Host(fmt.Sprint(index))}] = index
	}
	counts := feed.NewCallCounts(byEndpoint)
	first := testing.AllocsPerRun(1, func() { _, _ = feed.NewCallCounts(byEndpoint).MarshalJSON() })
	if _, err := counts.MarshalJSON(); err != nil {
		t.Fatal(err)
	}
	if again := testing.AllocsPerRun(100, func() { _, _ = counts.MarshalJSON() }); again > 0 || first < 200 {
		t.Errorf("%v allocations at first and %v each time after it, want none", first, again)
	}
}
