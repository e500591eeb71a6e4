package engine

import (
	"io"
	"net/http"
	"strings"
	"time"

	"carobline.dev/core/connection/rest"
)

// booking is the answer to a booking. Run counts the runs of its key.
type booking struct {
	Key  string `json:"key"`
	Run  int    `json:"run"`
	Body string `json:"body"`
}

// Runs counts the runs of one idempotency key.
func (engine *Engine) Runs(key string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.runs[key]
}

func (engine *Engine) listRuns(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	rest.WriteJSON(writer, http.StatusOK, engine.runs)
}

// serveOrders is a plain order service: each POST books, each GET tells the
// stock.
func (engine *Engine) serveOrders(writer http.ResponseWriter, request *http.Request) {
	turn := engine.slots.Join(0)
	defer engine.slots.Leave(turn)
	faults := engine.currentFaults()
	writer.Header().Set(rest.HeaderRequestID, request.Header.Get(rest.HeaderRequestID))
	if faults.RefuseUnrun {
		rest.WriteError(writer, rest.NotRun(http.StatusServiceUnavailable, "busy", "not now"))
		return
	}
	data, err := io.ReadAll(io.LimitReader(request.Body, 1<<20))
	if err != nil {
		return
	}
	if request.Method != http.MethodPost {
		rest.WriteJSON(writer, http.StatusOK, map[string]string{"path": strings.TrimPrefix(request.URL.Path, "/"), "stock": "1200"})
		return
	}
	key := request.Header.Get("Idempotency-Key")
	engine.mutex.Lock()
	engine.runs[key]++
	run := engine.runs[key]
	engine.mutex.Unlock()
	if faults.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	if faults.Hang {
		<-request.Context().Done()
		return
	}
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-request.Context().Done():
			return
		}
	}
	rest.WriteJSON(writer, http.StatusCreated, booking{Key: key, Run: run, Body: string(data)})
}
