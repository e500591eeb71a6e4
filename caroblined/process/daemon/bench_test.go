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

// newTCPSystem starts a system over loopback TCP. pace is the engines' pause per
// token, slots the calls that an engine serves at a time.
func newTCPSystem(b *testing.B, pace time.Duration, slots int) *system {
	network := newPipeNetwork()
	network.useTCP = true
	system := newSystemOn(b, network, 2, func(config *engine.Config) { config.Pace, config.Slots, config.ChecksFencing = pace, slots, false })
	system.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	return system
}

// post makes one call and reads its whole answer, through the daemon or, with
// direct, straight to an engine.
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

// cpuTime returns the user and system CPU time of the process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCalls makes calls one after another and returns their median latency and
// the mean CPU time per call.
func (system *system) measureCalls(b *testing.B, direct bool, body string, calls int) (latency, cpuPerCall time.Duration) {
	var latencies []time.Duration
	before := cpuTime()
	for range calls {
		start := time.Now()
		system.post(b, direct, body)
		latencies = append(latencies, time.Since(start))
	}
	cpuPerCall = (cpuTime() - before) / time.Duration(calls)
	slices.Sort(latencies)
	return latencies[len(latencies)/2], cpuPerCall
}

// BenchmarkAddedByDaemon alternates calls straight to the fake engine and calls
// through the daemon, and reports the latency and the CPU time that the daemon
// adds.
func BenchmarkAddedByDaemon(b *testing.B) {
	system := newTCPSystem(b, 0, 64)
	defer system.close()
	body := func(tokens int) string {
		return fmt.Sprintf(`{"model":"pulp","stream":true,"prompt":"x tokens=%d"}`, tokens)
	}
	shortCall := `{"model":"pulp","prompt":"x tokens=1"}`
	const calls, rounds, tokensPerStream = 300, 5, 400
	system.measureCalls(b, true, shortCall, calls)
	system.measureCalls(b, false, shortCall, calls)
	var latencies, cpuTimes, tokens []float64
	for range rounds {
		directLatency, directCPU := system.measureCalls(b, true, shortCall, calls)
		latency, cpuPerCall := system.measureCalls(b, false, shortCall, calls)
		latencies = append(latencies, float64((latency - directLatency).Microseconds()))
		cpuTimes = append(cpuTimes, float64((cpuPerCall - directCPU).Microseconds()))
		_, directCPUPerStream := system.measureCalls(b, true, body(tokensPerStream), 30)
		_, throughCPUPerStream := system.measureCalls(b, false, body(tokensPerStream), 30)
		tokens = append(tokens, float64((throughCPUPerStream-directCPUPerStream).Nanoseconds())/tokensPerStream/1000)
	}
	b.ReportMetric(median(latencies), "added_p50_us")
	b.ReportMetric(median(cpuTimes), "added_cpu_us/call")
	b.ReportMetric(median(tokens), "added_cpu_us/token")
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkOpenStreams reports the memory that the daemon adds per open stream:
// that of the whole process with streams through the daemon, less that with
// streams straight to the engine.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 2000
	system := newTCPSystem(b, time.Hour, 3*streams)
	defer system.close()
	throughDaemon := system.heapOfStreams(b, streams, "http://127.0.0.1:10/v1/completions")
	direct := system.heapOfStreams(b, streams, "http://127.0.0.1:50/v1/completions")
	b.ReportMetric((throughDaemon-direct)/streams/1024, "added_KB/stream")
}

// heapOfStreams opens streams and returns the bytes of heap and stacks that they
// add.
func (system *system) heapOfStreams(b *testing.B, streams int, url string) float64 {
	before, open := heapInUse(), system.engines[0].Streams()
	transport := &http.Transport{DialContext: system.network.dial}
	client := &http.Client{Transport: transport}
	for range streams {
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"model":"pulp","stream":true,"prompt":"x"}`)))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer acme-token")
		go func() {
			// The engines send no token during the benchmark. The connection ends
			// when the system is closed.
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
