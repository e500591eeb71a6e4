package feed

import (
	"encoding/json"
	"maps"
	"sync"

	"carobline.dev/core/step"
)

// CallCounts is the number of calls in progress at each endpoint. It is encoded at most
// once, however many responses it is sent in. It doesn't change and is safe for concurrent
// use.
type CallCounts struct {
	byEndpoint map[Endpoint]int

	once    sync.Once
	encoded []byte
	err     error
}

// NewCallCounts returns a copy of the counts.
func NewCallCounts(byEndpoint map[Endpoint]int) *CallCounts {
	return &CallCounts{byEndpoint: maps.Clone(byEndpoint)}
}

// Elsewhere returns the counts without a node's own calls. It may be called on nil, which
// holds none.
func (counts *CallCounts) Elsewhere(own map[Endpoint]int) map[Endpoint]int {
	if counts == nil {
		return nil
	}
	elsewhere := make(map[Endpoint]int, len(counts.byEndpoint))
	for endpoint, calls := range counts.byEndpoint {
		if others := calls - own[endpoint]; others > 0 {
			elsewhere[endpoint] = others
		}
	}
	return elsewhere
}

// MarshalJSON encodes the counts, with the bytes of the first call.
func (counts *CallCounts) MarshalJSON() ([]byte, error) {
	counts.once.Do(func() { counts.encoded, counts.err = json.Marshal(counts.byEndpoint) })
	return counts.encoded, step.Wrap(counts.err, "encode counts of calls")
}

// UnmarshalJSON decodes the counts.
func (counts *CallCounts) UnmarshalJSON(data []byte) error {
	return step.Wrap(json.Unmarshal(data, &counts.byEndpoint), "decode counts of calls")
}
