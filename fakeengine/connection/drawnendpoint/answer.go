package drawnendpoint

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Events is the number of events of each stream.
const Events = 4

// EventStream is the content type of a stream. A request that accepts it gets one.
const EventStream = "text/event-stream"

// answer is an answer to one request.
type answer struct {
	id      string
	status  int
	refusal bool
	head    string
	// body is the content, and framed what is written of it.
	body, framed string
}

func (answer answer) text() string { return answer.head + answer.framed }

// notRun returns the header line of a refusal.
func (names *Names) notRun() string { return names.NotRun + ": " + names.NotRunValue }

// Event returns an event of the stream that answers a send.
func Event(sent string, number int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", number, number, sent)
}

// newAnswer returns the answer that an arrival's script asks for.
func newAnswer(arrival *Arrival) *answer {
	script, names := &arrival.Script, &arrival.Conn.endpoint.config.Names
	answer := &answer{id: arrival.ID, status: script.Status, refusal: script.Outcome == Refuse, body: bodyOf(arrival)}
	lines := []string{fmt.Sprintf("HTTP/1.1 %d %s", script.Status, http.StatusText(script.Status)), names.RequestID + ": " + arrival.ID, names.Mark + ": m"}
	if names.Sent != names.RequestID {
		lines = append(lines, names.Sent+": "+arrival.Sent)
	}
	if script.Marked {
		lines = append(lines, names.notRun())
	}
	if script.SaysClose {
		lines = append(lines, "Connection: close")
	}
	if arrival.streams() {
		lines = append(lines, "Content-Type: "+EventStream)
	}
	switch script.Framing {
	case Chunked:
		lines = append(lines, "Transfer-Encoding: chunked")
		answer.framed = chunks(answer.body)
	case UntilClose:
		answer.framed = answer.body
	case NoBody, Length:
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(answer.body)))
		answer.framed = answer.body
	}
	answer.head = strings.Join(lines, "\r\n") + "\r\n\r\n"
	if arrival.Request.Method == http.MethodHead {
		answer.body, answer.framed = "", ""
	}
	return answer
}

// streams reports whether the answer is a stream of events.
func (arrival *Arrival) streams() bool {
	return arrival.Ran() && arrival.Request.Header.Get("Accept") == EventStream
}

// bodyOf returns the body of an arrival's answer.
func bodyOf(arrival *Arrival) string {
	switch {
	case arrival.streams():
		// Without a number the stream starts with its first event.
		after, _ := strconv.Atoi(arrival.Request.Header.Get(arrival.Conn.endpoint.config.Names.LastEventID))
		var events strings.Builder
		for number := after + 1; number <= Events; number++ {
			events.WriteString(Event(arrival.Sent, number))
		}
		return events.String()
	case arrival.Script.Framing == NoBody:
		return ""
	default:
		return fmt.Sprintf("%s of %s on connection %d", arrival.Script.Outcome, arrival.Sent, arrival.Conn.Number)
	}
}

// chunks returns a body in chunks of half its length.
func chunks(body string) string {
	var text strings.Builder
	for _, part := range []string{body[:len(body)/2], body[len(body)/2:]} {
		if part != "" {
			_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
		}
	}
	return text.String() + "0\r\n\r\n"
}

// playScript writes the answer in an arrival's script, and reports whether the connection goes on.
func (conn *Conn) playScript(arrival *Arrival) bool {
	script, answer := &arrival.Script, newAnswer(arrival)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.tidy = conn.tidy && script.tidy()
	for range script.Interim {
		conn.write(conn.extraText(InterimAnswer, ""))
	}
	for _, extra := range script.Due {
		conn.write(conn.extraText(extra, arrival.ID))
	}
	if script.Outcome != NoAnswer {
		arrival.setAnswer(answer)
	}
	text := script.written(answer)
	conn.history = append(conn.history, *answer)
	for _, extra := range script.After {
		text += conn.extraText(extra, arrival.ID)
	}
	conn.write(text)
	conn.onNext, conn.endingOnNext = script.OnNext, script.EndingOnNext
	return conn.end(script.Ending)
}

// written returns what a script writes of an answer.
func (script *Script) written(answer *answer) string {
	switch script.Outcome {
	case NoAnswer:
		return ""
	case CutHead:
		return answer.head[:len(answer.head)/2]
	case HeadOnly:
		return answer.head
	case CutBody:
		return answer.head + answer.framed[:len(answer.framed)/2]
	case Sound, Refuse:
	}
	return answer.text()
}

// end ends the connection, and reports whether it goes on. The caller holds the mutex.
func (conn *Conn) end(ending Ending) bool {
	switch ending {
	case Close:
		return false
	case Reset:
		_ = conn.socket.SetLinger(0)
		return false
	case HalfClose:
		conn.halfClosed = true
		_ = conn.socket.CloseWrite()
	case Keep:
	}
	return true
}
