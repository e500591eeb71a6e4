package entryapi

import (
	"io"
	"time"

	"carobline.dev/core/process/memory"
	"carobline.dev/core/request/balancer"
)

// keeperProgressBytes is the length from which on each read of an answer is recorded as progress.
// Smaller answers aren't ended for others.
const keeperProgressBytes = 64 << 10

// memoryVerdict is what a shortage of memory meant for a call, as written to the log.
type memoryVerdict string

const (
	// memoryPassedThrough: an answer was passed on before it was complete.
	memoryPassedThrough memoryVerdict = "passed_through"
	// memoryEnded: an exchange was ended.
	memoryEnded memoryVerdict = "ended"
)

// endpointHolder is whom the bytes of an endpoint's answer are held for.
func endpointHolder(pool balancer.Pool, attempt *attempt) memory.Holder {
	return memory.Holder{Kind: memory.Endpoint, Name: string(pool.Service) + "/" + attempt.endpoint.Name.BareName()}
}

// keeper reads an answer that is kept, until it is notified that others need the bytes. Its Read then
// returns memory.ErrNoRoom, or what comes of a read that is cancelled.
type keeper struct {
	yielder

	source io.Reader
	charge *memory.Charge
	now    func() time.Time
	// count is the number of bytes read.
	count int64
}

// Read implements io.Reader.
func (keeper *keeper) Read(data []byte) (int, error) {
	if keeper.mustGiveWay() {
		return 0, memory.ErrNoRoom
	}
	count, err := keeper.source.Read(data)
	if keeper.count += int64(count); count > 0 && keeper.count > keeperProgressBytes {
		keeper.charge.Progress(keeper.now())
	}
	return count, err
}
