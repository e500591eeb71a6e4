package register

import (
	"time"

	"carobline.dev/core/id"
)

// recent remembers results by change for a bounded time.
type recent struct {
	Results map[id.Change]Result `json:"results"`
	Order   []recentEntry        `json:"order"`
}

type recentEntry struct {
	Change id.Change     `json:"change"`
	At     time.Duration `json:"at"`
}

func (recent *recent) find(change id.Change) (Result, bool) {
	result, ok := recent.Results[change]
	return result, ok
}

func (recent *recent) add(change id.Change, at time.Duration, result Result, memory time.Duration) {
	if change == "" {
		return
	}
	recent.Results[change] = result
	recent.Order = append(recent.Order, recentEntry{change, at})
	drop := 0
	for drop < len(recent.Order) && at-recent.Order[drop].At > memory {
		delete(recent.Results, recent.Order[drop].Change)
		drop++
	}
	recent.Order = recent.Order[drop:]
}
