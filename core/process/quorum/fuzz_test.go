package quorum_test

import (
	"encoding/json"
	"testing"

	"carobline.dev/core/process/quorum"
)

// FuzzMessages gives a voter any bytes that decode to messages, as a follower
// and as a leader. It must neither crash nor commit what it doesn't hold.
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
		follower := newVoter(three, stored)
		group := newTrio(t)
		leader := group.elect()
		for _, data := range [][]byte{first, second} {
			var message quorum.Message
			if json.Unmarshal(data, &message) != nil {
				return
			}
			follower.Step(start, quorum.Receive{Message: message})
			message.To = leader
			group.voters[leader].Step(group.now, quorum.Receive{Message: message})
			for _, voter := range []*quorum.Quorum{follower, group.voters[leader]} {
				if status := voter.Status(); status.Commit > status.LastIndex {
					t.Errorf("commit %d past the last entry %d", status.Commit, status.LastIndex)
				}
			}
		}
		follower.Tick(start.Add(quorum.DefaultTiming().Election * 3))
	})
}
