package entryapi

import (
	"net/http"
	"strconv"
	"strings"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/offered"
)

// unknownTokens is a number of tokens that the caller doesn't state.
const unknownTokens = -1

// size returns what a caller states of the size of its call. What isn't a number of tokens
// counts as not stated.
func (dialect *Dialect) size(header http.Header) offered.Size {
	prompt, most, _ := strings.Cut(header.Get(dialect.TokenCounts), ",")
	return offered.Size{Prompt: tokenCount(prompt), MostOut: tokenCount(most), HintOut: tokenCount(header.Get(dialect.LengthHint))}
}

func tokenCount(text string) float64 {
	count, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(count >= 0) {
		return unknownTokens
	}
	return count
}

// countOfferedWork sets the work of a call that was admitted, and counts it, whether or not the
// call is refused later. One that a stopping host refuses isn't counted here, as its caller goes to
// another host at once. A late call isn't counted: its caller has waited in an earlier attempt,
// which was counted where it came. One that retries so soon that its time left is within what
// callers choose themselves can't be distinguished from a first attempt, and counts again.
func (api *API) countOfferedWork(call *call) {
	if call.pool.Model == "" {
		return
	}
	service, ok := call.table.Declaration().Service(call.pool.Service)
	if !ok {
		return
	}
	size := api.config.Dialect.size(call.request.Header)
	api.mutex.Lock()
	defer api.mutex.Unlock()
	admitted := offered.Call{Service: service, Model: call.pool.Model, Priority: call.priority, Size: size}
	call.work = api.offered.Work(admitted)
	if !call.late {
		api.offered.Add(admitted)
	}
}

// recordCompleted records the size of a complete stream: each event covers some token steps.
func (api *API) recordCompleted(call *call, events int) {
	if events == 0 || call.pool.Model == "" {
		return
	}
	service, ok := call.table.Declaration().Service(call.pool.Service)
	if !ok || service.Engine == nil {
		return
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.offered.Completed(call.pool.Service, call.pool.Model, float64(events*max(1, service.Engine.StepsPerEvent)))
}

// OfferedWork returns the work that callers have offered since the start of the process.
func (api *API) OfferedWork() []feed.OfferedWork {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.offered.Report()
}
