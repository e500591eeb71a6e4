package entryapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobline.dev/core/process/memory"
	"carobline.dev/core/version/routing"
)

// largeEvents are events around some that are larger than a stream's usual buffer.
func largeEvents() string {
	text := event(1)
	for number := 2; number < 10; number += 2 {
		text += strings.Replace(event(number), "data: ", "data: "+strings.Repeat("x", number*30<<10), 1) + event(number+1)
	}
	return text
}

// Guards against large sound events that don't come whole while others hold all memory.
func TestLargeEventsComeInPiecesWithoutMemory(t *testing.T) {
	t.Parallel()
	account, free := newExhausted(t)
	log, text := &logBuffer{}, largeEvents()
	entryHost := entryHostOptions{log: log}.withAccount(account).start(t, route(routing.RepeatStream), newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		_, _ = io.WriteString(connection, streamHead(request, "m")+chunk(text)+"0\r\n\r\n")
	}))
	got, err := call(t, entryHost.server, post("/a", "x"))
	if err != nil || got.body != text {
		t.Errorf("status %d, error %v, %d bytes; want all %d bytes", got.status, err, len(got.body), len(text))
	}
	if line := log.awaitLine(t, "request"); line["memory"] != "passed_through" || line["reason"] != "answered" || line["events"] != 9.0 {
		t.Errorf("memory %v, reason %v, events %v; want passed_through, answered and 9", line["memory"], line["reason"], line["events"])
	}
	free()
	wantNothingHeld(t, account)
}

// Guards against the buffer of a large event that its stream keeps while it goes on.
func TestTheBufferOfALargeEventIsGivenBack(t *testing.T) {
	t.Parallel()
	account := memory.New(memory.Config{Memory: processMemory})
	text, goOn := largeEvents(), make(chan struct{})
	entryHost := entryHostOptions{}.withAccount(account).start(t, route(routing.RepeatStream), newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		_, _ = io.WriteString(connection, streamHead(request, "m")+chunk(text))
		<-goOn
		_, _ = io.WriteString(connection, chunk(event(10))+"0\r\n\r\n")
	}))
	calling := make(chan answer, 1)
	go func() {
		// Without a body, so that the call itself holds nothing.
		got, _ := call(t, entryHost.server, post("/a", ""))
		calling <- got
	}()
	for account.State().Peak < 200<<10 && len(calling) == 0 {
		time.Sleep(time.Millisecond)
	}
	wantNothingHeld(t, account)
	close(goOn)
	if got := <-calling; got.body != text+event(10) {
		t.Errorf("%d bytes, want all %d", len(got.body), len(text+event(10)))
	}
}

// Guards against an event that stops and keeps its memory while others need it.
func TestAStalledEventGivesWay(t *testing.T) {
	t.Parallel()
	account := memory.New(memory.Config{Memory: processMemory})
	log := &logBuffer{}
	entryHost := entryHostOptions{log: log}.withAccount(account).start(t, route(routing.RepeatStream), newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		_, _ = io.WriteString(connection, streamHead(request, "m")+chunk(event(1)+"id: 2\ndata: "+strings.Repeat("x", 250<<10)))
		_, _ = connection.Read(make([]byte, 1))
	}))
	calling := make(chan error, 1)
	go func() {
		_, err := call(t, entryHost.server, post("/a", "x"))
		calling <- err
	}()
	time.Sleep(memory.StallTime + 500*time.Millisecond)
	var charges []*memory.Charge
	for number := range 19 {
		size := memory.Bytes(4 << 20)
		if number == 18 {
			size = 640 << 10 // more than is left beside the stalled event
		}
		charge := account.Open(memory.Holder{Kind: memory.Endpoint, Name: fmt.Sprint("other-", number)}, "other", nil)
		charges = append(charges, charge)
		if err := charge.Await(t.Context(), time.Now, size); err != nil {
			t.Fatalf("%d bytes of another holder: %v; want room", size, err)
		}
	}
	if err := <-calling; err == nil {
		t.Error("the stream looks complete")
	}
	if line := log.awaitLine(t, "request"); line["memory"] != "ended" || line["broken_by"] != "memory" {
		t.Errorf("memory %v, broken_by %v; want ended and memory", line["memory"], line["broken_by"])
	}
	for _, charge := range charges {
		charge.Close()
	}
	wantNothingHeld(t, account)
}
