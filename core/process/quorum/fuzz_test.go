package quorum_test

import (
	"encoding/json"
	"testing"

	"carobline.dev/core/process/quorum"
)

// FuzzMessages gives a follower and a leader arbitrary bytes that decode to
// messages. Neither may panic or commit past its last entry.
func FuzzMessages(f *testing.F) {
	seeds := []string{
		`{"kind":"append","from":"b","to":"a","term":3,"log_index":2,"log_term":1,"entries":[{"index":3,"term":3,"data":"eA=="}],"commit":3}`,
		`{"kind":"append","from":"b","to":"a","term":3,"log_index":0,"entries":[{"index":1,"term":3}],"commit":9}`,
		`{"kind":"append","from":"b","to":"a","term":3,"log_index":7,"log_term":1,"entries":[{"index":2,"term":3}]}`,
		`{"kind":"append_reply","from":"b","to":"a","term":1,"granted":true,"match":99}`,
		`{"kind":"append_reply","from":"b","to":"a","term":1,"match":18446744073709551615}`,
		`{"kind":"snapshot","from":"b","to":"a","term":4}`,
		`{"kind":"snapshot","from":"b","to":"a","term":4,"snapshot":{"index":2,"term":1,"membership":{"voters":null}}}`,
		`{"kind":"vote","from":"b","to":"a","term":9,"log_index":9,"log_term":9,"forced":true}`,
		`{"kind":"timeout_now","from":"b","to":"a","term":9}`,
		`{"kind":"pre_vote_reply","from":"b","to":"a","term":2,"granted":true}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed), []byte(seeds[1]))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		stored := quorum.Stored{HardState: quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}
		follower := newVoter(threeVoters, stored)
		cluster := newCluster(t)
		leader := cluster.elect()
		for _, data := range [][]byte{first, second} {
			var message quorum.Message
			if json.Unmarshal(data, &message) != nil {
				return
			}
			follower.Step(start, quorum.Receive{Message: message})
			message.To = leader
			cluster.voters[leader].Step(cluster.now, quorum.Receive{Message: message})
			for _, voter := range []*quorum.Quorum{follower, cluster.voters[leader]} {
				if status := voter.Status(); status.CommitIndex > status.LastIndex {
					t.Errorf("commit %d past the last entry %d", status.CommitIndex, status.LastIndex)
				}
			}
		}
		follower.Tick(start.Add(quorum.DefaultTiming().Election * 3))
	})
}
