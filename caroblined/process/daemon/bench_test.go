package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"carobline.dev/fakeengine/process/engine"
)

// newLoopback starts a system over TCP with engines that don't pace.
func newLoopback(b *testing.B, pace time.Duration, slots int) *system {
	memory := newMemory()
	memory.loopback = true
	system := newSystemOn(b, memory, 2, func(config *engine.Config) { config.Pace, config.Slots, config.ChecksFencing = pace, slots, false })
	system.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	return system
}

// post makes one call and reads its whole answer; direct goes past the daemon.
func (system *system) post(b *testing.B, direct bool, body string) {
	url := "http://127.0.0.1:10/v1/completions"
	if direct {
		url = "http://127.0.0.1:50/v1/completions"
	}
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer acme-token")
	response, err := system.client.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("%d %v %s", response.StatusCode, err, data)
	}
	_ = response.Body.Close()
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// costOf gives the median latency and the mean processor time of a call.
func (system *system) costOf(b *testing.B, direct bool, body string, calls int) (latency, processor time.Duration) {
	var latencies []time.Duration
	before := processorTime()
	for range calls {
		began := time.Now()
		system.post(b, direct, body)
		latencies = append(latencies, time.Since(began))
	}
	processor = (processorTime() - before) / time.Duration(calls)
	slices.Sort(latencies)
	return latencies[len(latencies)/2], processor
}

// BenchmarkAddedByDaemon pairs calls through the daemon with calls straight to
// the stand-in engine, in turn, and reports what the daemon adds.
func BenchmarkAddedByDaemon(b *testing.B) {
	system := newLoopback(b, 0, 64)
	defer system.close()
	body := func(tokens int) string {
		return fmt.Sprintf(`{"model":"pulp","stream":true,"prompt":"x tokens=%d"}`, tokens)
	}
	whole := `{"model":"pulp","prompt":"x tokens=1"}`
	const calls, rounds, many = 300, 5, 400
	system.costOf(b, true, whole, calls)
	system.costOf(b, false, whole, calls)
	var latencies, processors, tokens []float64
	for range rounds {
		directLatency, directProcessor := system.costOf(b, true, whole, calls)
		latency, processor := system.costOf(b, false, whole, calls)
		latencies = append(latencies, float64((latency - directLatency).Microseconds()))
		processors = append(processors, float64((processor - directProcessor).Microseconds()))
		_, directMany := system.costOf(b, true, body(many), 30)
		_, throughMany := system.costOf(b, false, body(many), 30)
		tokens = append(tokens, float64((throughMany-directMany).Nanoseconds())/many/1000)
	}
	b.ReportMetric(median(latencies), "added_p50_us")
	b.ReportMetric(median(processors), "added_cpu_us/call")
	b.ReportMetric(median(tokens), "added_cpu_us/token")
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkOpenStreams reports the memory of an open stream: that of the whole
// process with the daemon between, less that of calls straight to the engine.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	system := newLoopback(b, time.Hour, 3*streams)
	defer system.close()
	through := system.heapOf(b, streams, "http://127.0.0.1:10/v1/completions")
	direct := system.heapOf(b, streams, "http://127.0.0.1:50/v1/completions")
	b.ReportMetric((through-direct)/streams/1024, "added_KB/stream")
}

func (system *system) heapOf(b *testing.B, streams int, url string) float64 {
	before, open := heapInUse(), system.engines[0].Streams()
	transport := &http.Transport{DialContext: system.memory.dial}
	client := &http.Client{Transport: transport}
	for range streams {
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"model":"pulp","stream":true,"prompt":"x"}`)))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer acme-token")
		go func() {
			// No token ever comes; the connection ends with the system.
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	for system.engines[0].Streams() < open+streams {
		time.Sleep(10 * time.Millisecond)
	}
	after := heapInUse()
	transport.CloseIdleConnections()
	return after - before
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
