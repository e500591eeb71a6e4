package engine

import (
	"io"
	"net/http"
	"strings"
	"time"

	"carobline.dev/core/connection/rest"
)

// booking is the answer to a booking. Run is how many times the calls with its
// idempotency key have run, this one included.
type booking struct {
	Key  string `json:"key"`
	Run  int    `json:"run"`
	Body string `json:"body"`
}

// Runs returns how many times calls with an idempotency key have run.
func (engine *Engine) Runs(key string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.runsByKey[key]
}

func (engine *Engine) listRuns(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	rest.WriteJSON(writer, http.StatusOK, engine.runsByKey)
}

// serveBookings is a plain order service: each POST makes a booking, any other
// method returns the stock. Calls count in the load report but don't wait for a
// slot.
func (engine *Engine) serveBookings(writer http.ResponseWriter, request *http.Request) {
	ticket := engine.scheduler.Enqueue(0)
	defer engine.scheduler.Remove(ticket)
	faults := engine.currentFaults()
	if refused := engine.refuseAsFault(writer, request); refused {
		return
	}
	if faults.RefuseUnrun {
		rest.WriteError(writer, rest.NotRun(http.StatusServiceUnavailable, "busy", "not now"))
		return
	}
	data, err := io.ReadAll(io.LimitReader(request.Body, 1<<20))
	if err != nil {
		return
	}
	if faults.Endless != "" {
		answerEndlessly(writer, request, faults.Endless)
		return
	}
	if request.Method != http.MethodPost && faults.Garbage {
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "data: {}\n\ndata: {")
		return
	}
	if request.Method != http.MethodPost {
		if !awaitDelay(request, faults.Delay) {
			return
		}
		rest.WriteJSON(writer, http.StatusOK, map[string]string{"path": strings.TrimPrefix(request.URL.Path, "/"), "stock": "1200"})
		return
	}
	key := request.Header.Get("Idempotency-Key")
	engine.mutex.Lock()
	engine.runsByKey[key]++
	run := engine.runsByKey[key]
	engine.mutex.Unlock()
	if faults.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	if faults.Hang {
		<-request.Context().Done()
		return
	}
	if !awaitDelay(request, faults.Delay) {
		return
	}
	rest.WriteJSON(writer, http.StatusCreated, booking{Key: key, Run: run, Body: string(data)})
}

// awaitDelay waits for a time. It returns false when the caller leaves before.
func awaitDelay(request *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}
