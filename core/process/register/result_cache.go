package register

import (
	"time"

	"carobline.dev/core/id"
)

// resultCache keeps the results of commands by change for a limited time, measured
// by the state's own clock.
type resultCache struct {
	ResultByChange map[id.Change]Result `json:"results"`
	// OldestFirst lists the changes in the order in which they were added.
	OldestFirst []cachedChange `json:"order"`
}

type cachedChange struct {
	Change  id.Change     `json:"change"`
	AddedAt time.Duration `json:"at"`
}

func (resultCache *resultCache) find(change id.Change) (Result, bool) {
	result, ok := resultCache.ResultByChange[change]
	return result, ok
}

// add keeps a result and drops those that were added more than retention before now.
func (resultCache *resultCache) add(change id.Change, now time.Duration, result Result, retention time.Duration) {
	if change == "" {
		return
	}
	resultCache.ResultByChange[change] = result
	resultCache.OldestFirst = append(resultCache.OldestFirst, cachedChange{change, now})
	expired := 0
	for expired < len(resultCache.OldestFirst) && now-resultCache.OldestFirst[expired].AddedAt > retention {
		delete(resultCache.ResultByChange, resultCache.OldestFirst[expired].Change)
		expired++
	}
	resultCache.OldestFirst = resultCache.OldestFirst[expired:]
}
