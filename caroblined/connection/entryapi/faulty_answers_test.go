package entryapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"carobline.dev/core/process/memory"
	"carobline.dev/core/version/routing"
)

const (
	faultyServices = 24
	// faultyCallsEach is the number of calls at once to each faulty service.
	faultyCallsEach = 12
	// faultyTimeout is the timeout of the faulty services' route. The sound route's is longer, so that
	// a sound call fails for want of memory and not of processor time.
	faultyTimeout = 5 * time.Second
	// soundCallers send small calls, and largeSoundCallers calls with large answers, one after
	// another each.
	soundCallers      = 4
	largeSoundCallers = 4
	// minLargeAnswer is the least length of a large sound answer. They grow by largeAnswerStep, up to
	// a mebibyte more.
	minLargeAnswer  = 3_000_000
	largeAnswerStep = 100_000
	// faultyPause is the pause after each block of an answer without end: its services share the
	// processor with the entry host, which is to be short of memory and not of that.
	faultyPause = 10 * time.Millisecond
)

// faultyBlock is what faulty services write repeatedly, and soundText what sound ones write.
var (
	faultyBlock = []byte(strings.Repeat("x", 32<<10))
	soundText   = []byte(strings.Repeat("s", 4<<20))
)

// faultyAnswer is a kind of answer that never ends.
type faultyAnswer struct {
	name   string
	repeat routing.Repeat
	// head is what is written first, with ID for the call's id.
	head string
	// chunked writes the rest in chunks.
	chunked bool
	// bytes is the number of bytes after the head, of which nothing follows; without, they don't end.
	bytes int
}

func faultyAnswers() []faultyAnswer {
	const (
		ok     = "HTTP/1.1 200 OK\r\nCall-Id: ID\r\nMark: m\r\n"
		stream = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	return []faultyAnswer{
		{"body that stops before its length", routing.RepeatSafe, ok + "Content-Length: 4000000\r\n\r\n", false, 3_990_000},
		{"body without length that stops", routing.RepeatSafe, ok + "\r\n", false, 4_100_000},
		{"body without end", routing.RepeatSafe, ok + "\r\n", false, 0},
		{"event without end behind a first line", routing.RepeatStream, stream + chunk("id: 1\n"), true, 0},
		{"event that stops", routing.RepeatStream, stream + chunk("data: "), true, 250 << 10},
		{"head without end", routing.RepeatSafe, ok + "X: ", false, 0},
	}
}

// respond writes the answer until the caller closes the connection.
func (faulty *faultyAnswer) respond(_ *service, connection net.Conn, request *http.Request, _ int) {
	_, err := io.WriteString(connection, strings.ReplaceAll(faulty.head, "ID", request.Header.Get("Call-Id")))
	for written := 0; err == nil && (faulty.bytes == 0 || written < faulty.bytes); {
		block := faultyBlock
		if faulty.bytes > 0 {
			block = block[:min(len(block), faulty.bytes-written)]
		}
		written += len(block)
		err = faulty.write(connection, block)
		if faulty.bytes == 0 {
			time.Sleep(faultyPause)
		}
	}
	if err == nil {
		_, _ = connection.Read(make([]byte, 1))
	}
	_ = connection.Close()
}

func (faulty *faultyAnswer) write(connection net.Conn, block []byte) error {
	if !faulty.chunked {
		_, err := connection.Write(block)
		return err
	}
	buffers := net.Buffers{fmt.Appendf(nil, "%x\r\n", len(block)), block, []byte("\r\n")}
	_, err := buffers.WriteTo(connection)
	return err
}

// respondSound answers with as many bytes as the path ends with.
func respondSound(_ *service, connection net.Conn, request *http.Request, _ int) {
	length := soundLength(request.URL.Path)
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nMark: m\r\nContent-Length: %d\r\n\r\n", request.Header.Get("Call-Id"), length)
	_, _ = connection.Write(soundText[:length])
}

func soundLength(path string) int {
	length := 0
	_, _ = fmt.Sscanf(path, "/sound/%d", &length)
	return length
}

// discarded is what a caller gets that keeps nothing of it. A status of 0 stands for no answer.
type discarded struct {
	status int
	bytes  int64
	err    error
}

// discard sends raw bytes on a connection of its own and reads one answer.
func discard(server *httptest.Server, raw string) discarded {
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		return discarded{err: err}
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, raw); err != nil {
		return discarded{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return discarded{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	count, err := io.Copy(io.Discard, response.Body)
	return discarded{response.StatusCode, count, err}
}

// sendSound sends calls whose answers have the lengths given, one after another, until stopped is
// closed, and one at least. It returns how many came whole, and the others.
func sendSound(server *httptest.Server, interval time.Duration, length func(number int) int, stopped <-chan struct{}) (whole int, others []discarded) {
	for sent := false; ; sent = true {
		select {
		case <-stopped:
			if sent {
				return whole, others
			}
		case <-time.After(interval):
		}
		want := length(whole + len(others))
		got := discard(server, post(fmt.Sprintf("/sound/%d", want), "b"))
		if got.err == nil && got.status == http.StatusOK && got.bytes == int64(want) {
			whole++
		} else {
			others = append(others, got)
		}
	}
}

// faultyBesideSound is an entry host with faulty services, and a sound one with a route of its own.
func faultyBesideSound(t *testing.T, faulty faultyAnswer, account *memory.Account) *entryHost {
	t.Helper()
	routes := route(faulty.repeat)
	sound := routes[0]
	routes[0].TimeoutMS = faultyTimeout.Milliseconds()
	sound.Name, sound.PathPrefix, sound.Repeat = "sound", "/sound/", routing.RepeatSafe
	sound.Backends = []routing.Backend{{Service: "spare", Weight: 1}}
	var services []*service
	for range faultyServices {
		services = append(services, newService(t, faulty.respond))
	}
	options := entryHostOptions{
		entryHosts: 1, leaseUntil: time.Now().Add(time.Hour), savedRetries: savedRetries,
		account: account, slots: faultyCallsEach, spare: []*service{newService(t, respondSound)},
	}
	return options.start(t, append(routes, sound), services...)
}

// Guards against answers that are bounded one by one and together take more memory than the process has
// (issue 39). Not parallel, so that nothing else uses the heap.
func TestHundredsOfFaultyAnswersStayWithinTheMemory(t *testing.T) { //nolint:paralleltest // measures the heap
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxHeapGrowth))
	for _, faulty := range faultyAnswers() {
		t.Run(faulty.name, func(t *testing.T) { wantWithinMemory(t, faulty) })
	}
}

func wantWithinMemory(t *testing.T, faulty faultyAnswer) {
	t.Helper()
	account := memory.New(memory.Config{Memory: processMemory})
	entryHost := faultyBesideSound(t, faulty, account)
	stopHeap, stopped := heapPeak(), make(chan struct{})
	var sound, calls sync.WaitGroup
	for caller := range soundCallers + largeSoundCallers {
		interval, length := 20*time.Millisecond, func(number int) int { return 100 * (number%50 + 1) }
		if caller >= soundCallers {
			interval, length = 100*time.Millisecond, func(number int) int { return minLargeAnswer + number%10*largeAnswerStep }
		}
		sound.Go(func() {
			whole, others := sendSound(entryHost.server, interval, length, stopped)
			t.Logf("sound calls with answers from %d bytes on: %d whole, %d others", length(0), whole, len(others))
			if len(others) > 0 || whole == 0 {
				t.Errorf("%d sound calls failed, the first: %+v", len(others), append(others, discarded{})[0])
			}
		})
	}
	answers := make([]discarded, faultyServices*faultyCallsEach)
	for number := range answers {
		calls.Go(func() { answers[number] = discard(entryHost.server, post("/a", "b")) })
	}
	calls.Wait()
	close(stopped)
	sound.Wait()
	growth, state := stopHeap(), account.State()
	wantNoneComplete(t, answers)
	checkBounded(t, growth, state)
	wantAllGivenBack(t, entryHost, account)
}

// checkBounded checks by how much the heap has grown, and what the account has held.
func checkBounded(t *testing.T, growth int64, state memory.State) {
	t.Helper()
	t.Logf("heap: %d MiB; account: peak %d of %d MiB, refused %d, ended %d", growth>>20, state.Peak>>20, state.Limit>>20, state.Refused, state.Ended)
	if growth > maxHeapGrowth {
		t.Errorf("the heap grew by %d MiB, want %d at most", growth>>20, maxHeapGrowth>>20)
	}
	if state.Peak > state.Limit || state.Peak == 0 {
		t.Errorf("the account held up to %d bytes, want above 0 and %d at most", state.Peak, state.Limit)
	}
}

// wantAllGivenBack ends an entry host and checks that nothing is held any more.
func wantAllGivenBack(t *testing.T, entryHost *entryHost, account *memory.Account) {
	t.Helper()
	entryHost.server.Close()
	if held := account.State().Held; held != 0 {
		t.Errorf("%d bytes are held once all calls have ended, want none", held)
	}
}

// wantNoneComplete checks that no faulty answer looks complete.
func wantNoneComplete(t *testing.T, answers []discarded) {
	t.Helper()
	byStatus := map[int]int{}
	for _, answer := range answers {
		byStatus[answer.status]++
		if answer.err == nil && answer.status < http.StatusInternalServerError {
			t.Errorf("a caller got a whole answer: status %d, %d bytes", answer.status, answer.bytes)
		}
	}
	t.Logf("faulty calls by status: %v", byStatus)
}
