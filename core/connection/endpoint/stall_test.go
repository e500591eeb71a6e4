package endpoint_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// untilSuspended is longer than a process takes to suspend itself.
const untilSuspended = 100 * time.Millisecond

// pausedProcessURL names the environment variable with the address at which a process that
// is to be suspended sends its request.
const pausedProcessURL = "TEST_PAUSED_PROCESS_URL"

// Guards against an answer that is given up, as if its headers didn't end, since this process
// was suspended after their first byte: the rest had come meanwhile.
func TestAnswerOutlastsAPauseOfThisProcess(t *testing.T) {
	if url := os.Getenv(pausedProcessURL); url != "" {
		sendAndSuspend(t, url)
		return
	}
	const pause = 2500 * time.Millisecond // longer than the time that headers may take
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "done")
	}))
	defer server.Close()
	process := exec.Command(os.Args[0], "-test.run=^TestAnswerOutlastsAPauseOfThisProcess$") //nolint:gosec,noctx // this test itself
	process.Env = append(os.Environ(), pausedProcessURL+"="+server.URL)
	process.Stdout, process.Stderr = t.Output(), t.Output()
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(process.Process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("status %v, error %v; want a suspended process", status, err)
	}
	time.Sleep(pause)
	if err := process.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
}

// sendAndSuspend sends a request, and suspends this process at the first byte of its answer.
func sendAndSuspend(t *testing.T, url string) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotFirstResponseByte: func() {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(untilSuspended)
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := newTransport(t, false).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "done" {
		t.Errorf("%q, error %v; want the answer", body, err)
	}
}
