package entryapi_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

// copier is an endpoint that refuses the first send of call c1. Where the call comes once
// more on the connection of the refusal, it writes a copy of that just when it begins to run
// the call.
type copier struct {
	refusal refusalForm
	// answersWithStream is set for the answers of a route of streams.
	answersWithStream bool

	service *service
	mutex   sync.Mutex
	sends   map[string]int
	runs    map[string]int
	refused map[net.Conn]bool
	copies  int
}

// refusalForm is how an endpoint says that it hasn't run a call.
type refusalForm struct {
	status, body string
	lines        []string
}

// refusalsByName are those that are a promise: by their status, or by the header.
var refusalsByName = map[string]refusalForm{
	"503":                 {status: "503 Service Unavailable", lines: []string{"Not-Run: 1"}},
	"429":                 {status: "429 Too Many Requests", lines: []string{"Not-Run: 1"}},
	"421":                 {status: "421 Misdirected Request", lines: []string{"Not-Run: 1"}},
	"421 without Not-Run": {status: "421 Misdirected Request"},
	"408":                 {status: "408 Request Timeout", lines: []string{"Not-Run: 1"}},
}

// copiedCall is a call of which an endpoint copies its refusal.
type copiedCall struct {
	repeat  routing.Repeat
	raw     string
	refusal refusalForm
}

// copiedCalls returns the calls of the routes, with and without a body, by each refusal.
func copiedCalls(repeats ...routing.Repeat) map[string]copiedCall {
	calls := map[string]copiedCall{}
	for _, repeat := range repeats {
		for form, raw := range map[string]string{"with a body": post("/a", "x"), "without a body": post("/a", "")} {
			for name, refusal := range refusalsByName {
				calls[fmt.Sprintf("%s, %s, %s", repeat, form, name)] = copiedCall{repeat: repeat, raw: raw, refusal: refusal}
			}
		}
	}
	return calls
}

func allRepeats() []routing.Repeat {
	return []routing.Repeat{routing.RepeatNever, routing.RepeatSafe, routing.RepeatStream}
}

// newCopier returns a copier of a call's refusal.
func (copied copiedCall) newCopier(t *testing.T) *copier {
	copier := &copier{
		refusal: copied.refusal, answersWithStream: copied.repeat == routing.RepeatStream,
		sends: map[string]int{}, runs: map[string]int{}, refused: map[net.Conn]bool{},
	}
	copier.service = newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		copier.respond(connection, request)
	})
	return copier
}

func (copier *copier) respond(connection net.Conn, request *http.Request) {
	id := request.Header.Get("Call-Id")
	copier.mutex.Lock()
	copier.sends[id]++
	first, copies := id == "c1" && copier.sends[id] == 1, id == "c1" && copier.refused[connection]
	copier.refused[connection] = first || copier.refused[connection] && !copies
	if !first {
		copier.runs[id]++
	}
	if copies {
		copier.copies++
	}
	copier.mutex.Unlock()
	if first || copies {
		reply(connection, request, copier.refusal.status, copier.refusal.body, copier.refusal.lines...)
	}
	if first {
		return
	}
	copier.answer(connection, request)
}

// answer writes the answer of a run.
func (copier *copier) answer(connection net.Conn, request *http.Request) {
	if copier.answersWithStream {
		_, _ = io.WriteString(connection, streamHead(request, "m")+chunk(event(1))+chunk(event(2))+"0\r\n\r\n")
		return
	}
	reply(connection, request, "200 OK", "done", "Mark: m")
}

// body is that of the answer of a run.
func (copier *copier) body() string {
	if copier.answersWithStream {
		return event(1) + event(2)
	}
	return "done"
}

// promisesNotRun reports whether a status tells a caller that its call hasn't run and never will.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// namedHost is an entry host that knows the address of each of its copiers by several names.
type namedHost struct {
	*entryHost
	copiers []*copier
	mutex   sync.Mutex
	dialled []net.Conn
}

// dial opens a connection, and keeps it for settle.
func (host *namedHost) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		host.mutex.Lock()
		defer host.mutex.Unlock()
		host.dialled = append(host.dialled, connection)
	}
	return connection, err
}

// settle waits until the copiers have read all that was sent to them.
func (host *namedHost) settle() {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for _, connection := range host.dialled {
		_ = connection.(*net.TCPConn).CloseWrite() // fails for one that is closed
	}
	for _, copier := range host.copiers {
		_ = copier.service.listener.Close()
		copier.service.goroutines.Wait()
	}
}

// counts is what endpoints did with call c1.
type counts struct{ sends, runs, copies int }

func (host *namedHost) count() (all counts) {
	for _, copier := range host.copiers {
		copier.mutex.Lock()
		all = counts{all.sends + copier.sends["c1"], all.runs + copier.runs["c1"], all.copies + copier.copies}
		copier.mutex.Unlock()
	}
	return all
}

// sent is one send of a caller, and what endpoints had done with its call before and did then.
type sent struct {
	host   *namedHost
	answer answer
	err    error
	before counts
	counts
}

// send makes one send of a caller.
func (host *namedHost) send(t *testing.T, raw string) sent {
	t.Helper()
	before := host.count()
	got, err := call(t, host.server, raw)
	sent := sent{host: host, answer: got, err: err, before: before}
	sent.recount()
	return sent
}

// recount counts what endpoints have done since before the send.
func (sent *sent) recount() {
	after := sent.host.count()
	sent.counts = counts{after.sends - sent.before.sends, after.runs - sent.before.runs, after.copies - sent.before.copies}
}

// repeatUntilSent repeats a call whose caller was told that it hasn't run, until it reaches an endpoint.
func (host *namedHost) repeatUntilSent(t *testing.T, raw string) sent {
	t.Helper()
	const endpointsRest, interval = 2 * time.Second, 5 * time.Millisecond
	for deadline := time.Now().Add(endpointsRest); ; time.Sleep(interval) {
		sent := host.send(t, raw)
		if sent.sends > 0 || time.Now().After(deadline) {
			return sent
		}
	}
}

// wantTruth checks that a send whose call ran isn't told to its caller as not run.
func (sent sent) wantTruth(t *testing.T) {
	t.Helper()
	sent.settle(t)
	if sent.runs > 0 && promisesNotRun(sent.answer.status) {
		t.Errorf("the caller got %d %q, and the call ran %d times in %d sends (%d copies of a refusal)", sent.answer.status, sent.answer.body, sent.runs, sent.sends, sent.copies)
	}
}

// wantNoSecondRun checks that a send of a caller ran once at most.
func (sent sent) wantNoSecondRun(t *testing.T) {
	t.Helper()
	sent.settle(t)
	if sent.runs > 1 {
		t.Errorf("the call ran %d times in %d sends to endpoints (%d copies of a refusal), and its caller got %d %q; want one run at most", sent.runs, sent.sends, sent.copies, sent.answer.status, sent.answer.body)
	}
}

// wantAnswer checks that the caller got the answer of the run.
func (sent sent) wantAnswer(t *testing.T) {
	t.Helper()
	sent.settle(t)
	if want := sent.host.copiers[0].body(); sent.answer.status != http.StatusOK || sent.answer.body != want {
		t.Errorf("the caller got %d %q for a call that ran %d times; want 200 %q", sent.answer.status, sent.answer.body, sent.runs, want)
	}
}

// settle counts what endpoints have done with a send in the end, and checks that it was answered.
func (sent *sent) settle(t *testing.T) {
	t.Helper()
	sent.host.settle()
	sent.recount()
	if sent.err != nil || sent.sends == 0 {
		t.Fatalf("status %d, error %v after %+v; want a send that reaches an endpoint and is answered", sent.answer.status, sent.err, sent.counts)
	}
}

// startNamed starts an entry host that knows the address of each copier by several names.
func (copied copiedCall) startNamed(t *testing.T, copiers, names int) *namedHost {
	t.Helper()
	routes := route(copied.repeat)
	routes[0].TargetMS = 300
	host := &namedHost{}
	var services []*service
	for range copiers {
		copier := copied.newCopier(t)
		host.copiers, services = append(host.copiers, copier), append(services, copier.service)
	}
	options := loggedOptions(nil)
	options.dial = host.dial
	host.entryHost = options.start(t, routes, services...)
	host.change(func(current *view.View) {
		byName := map[feed.Endpoint]*view.Endpoint{}
		var endpoints []*view.Endpoint
		for _, endpoint := range current.Services["desk"].Endpoints {
			for number := range names {
				named := *endpoint
				if number > 0 {
					named.Name.Group = id.Group(fmt.Sprintf("g%d", number))
				}
				endpoints, byName[named.Name] = append(endpoints, &named), &named
			}
		}
		current.Endpoints, current.Services = byName, map[id.Service]*view.Set{"desk": view.NewSet(endpoints)}
	})
	return host
}

// eachCopied runs a test for each call.
func eachCopied(t *testing.T, calls map[string]copiedCall, test func(t *testing.T, copied copiedCall)) {
	for name, copied := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, copied)
		})
	}
}

// refuseThenRepeat has a call refused by each of some endpoints, and returns its caller's repeat.
func (copied copiedCall) refuseThenRepeat(t *testing.T, copiers int) sent {
	t.Helper()
	host := copied.startNamed(t, copiers, 1)
	first := host.send(t, copied.raw)
	if first.err != nil || first.runs > 0 || first.sends != copiers || !promisesNotRun(first.answer.status) {
		t.Fatalf("status %d, error %v after %+v; want a call that %d endpoints refuse", first.answer.status, first.err, first.counts, copiers)
	}
	return host.repeatUntilSent(t, copied.raw)
}

// Guards against a caller that is told that its call hasn't run, since the endpoint wrote the
// refusal of the call's first send once more when the caller's repeat ran there.
func TestCopiedRefusalOfTheCallersRepeatIsNoPromise(t *testing.T) {
	eachCopied(t, copiedCalls(allRepeats()...), func(t *testing.T, copied copiedCall) {
		copied.refuseThenRepeat(t, 1).wantTruth(t)
	})
}

// Guards against a call that must not repeat and runs at two endpoints, since the first one
// wrote the refusal of the call's first send once more when the caller's repeat ran there.
func TestCopiedRefusalOfTheCallersRepeatCausesNoSecondRun(t *testing.T) {
	eachCopied(t, copiedCalls(routing.RepeatNever), func(t *testing.T, copied copiedCall) {
		copied.refuseThenRepeat(t, 2).wantNoSecondRun(t)
	})
}

// Guards against a repeat that ran and whose answer is lost for the copy of an earlier refusal.
func TestCopiedRefusalOfTheCallersRepeatHidesNoAnswer(t *testing.T) {
	eachCopied(t, copiedCalls(allRepeats()...), func(t *testing.T, copied copiedCall) {
		copied.refuseThenRepeat(t, 1).wantAnswer(t)
	})
}

// Guards against a caller that is told that its call hasn't run, since the entry host sent it
// again to the endpoint that had refused it, known by another name, and that wrote its refusal
// once more.
func TestCopiedRefusalAtAnotherNameOfTheAddressIsNoPromise(t *testing.T) {
	eachCopied(t, copiedCalls(allRepeats()...), func(t *testing.T, copied copiedCall) {
		copied.startNamed(t, 1, 2).send(t, copied.raw).wantTruth(t)
	})
}

// Guards against a call that must not repeat and runs twice, since the entry host sent it
// again to the endpoint that had refused it, known by other names, and that wrote its refusal
// once more.
func TestCopiedRefusalAtAnotherNameOfTheAddressCausesNoSecondRun(t *testing.T) {
	eachCopied(t, copiedCalls(routing.RepeatNever), func(t *testing.T, copied copiedCall) {
		copied.startNamed(t, 1, 3).send(t, copied.raw).wantNoSecondRun(t)
	})
}

// Guards against a call whose answer is lost for the copy of a refusal by the same address.
func TestCopiedRefusalAtAnotherNameOfTheAddressHidesNoAnswer(t *testing.T) {
	eachCopied(t, copiedCalls(allRepeats()...), func(t *testing.T, copied copiedCall) {
		copied.startNamed(t, 1, 2).send(t, copied.raw).wantAnswer(t)
	})
}

// Guards against a caller that is told that its call hasn't run by a copy that comes after the
// connection has carried another call.
func TestCopiedRefusalAfterAnotherCallIsNoPromise(t *testing.T) {
	eachCopied(t, copiedCalls(allRepeats()...), func(t *testing.T, copied copiedCall) {
		host := copied.startNamed(t, 1, 1)
		if first := host.send(t, copied.raw); first.runs > 0 || first.sends != 1 {
			t.Fatalf("%+v; want a call that is refused", first.counts)
		}
		host.serveOther(t, copied.raw)
		host.repeatUntilSent(t, copied.raw).wantTruth(t)
	})
}

// serveOther makes another call until it is served.
func (host *namedHost) serveOther(t *testing.T, raw string) {
	t.Helper()
	const interval = 5 * time.Millisecond
	raw = strings.Replace(raw, "Call-Id: c1", "Call-Id: c2", 1)
	for ; ; time.Sleep(interval) {
		got, err := call(t, host.server, raw)
		switch {
		case err == nil && got.status == http.StatusOK:
			return
		case err != nil || !promisesNotRun(got.status):
			t.Fatalf("call c2: %+v, %v", got, err)
		}
	}
}
