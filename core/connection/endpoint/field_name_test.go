package endpoint_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/fieldname"
)

// placeOfField is where an answer has a field.
type placeOfField string

const (
	inHead      placeOfField = "head"
	inInterim   placeOfField = "interim answer"
	inLaterHint placeOfField = "second interim answer"
	inTrailer   placeOfField = "trailer"
	// inTrailerOfEvents is the trailer of a stream of events.
	inTrailerOfEvents placeOfField = "trailer of events"
)

// answerWithField returns a whole answer that has a field line in one place.
func answerWithField(place placeOfField, request *http.Request, line string) string {
	id, hint := idHeader+": "+request.Header.Get(idHeader), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"
	switch place {
	case inInterim:
		return hint + line + "\r\n\r\n" + answerWith("200 OK", "done", id)
	case inLaterHint:
		return hint + "\r\n" + hint + line + "\r\n\r\n" + answerWith("200 OK", "done", id)
	case inTrailer:
		return unframed("200 OK", "4\r\ndone\r\n0\r\n"+line+"\r\n\r\n", id, "Transfer-Encoding: chunked")
	case inTrailerOfEvents:
		return unframed("200 OK", "4\r\ndone\r\n0\r\nSound: 1\r\n"+line+"\r\n\r\n", id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	default:
		return answerWith("200 OK", "done", id, line, "After: it")
	}
}

// sendForField sends a request to an endpoint whose answer has a field line in one place.
func sendForField(t *testing.T, place placeOfField, line string) (*endpoint.Transport, string, error) {
	t.Helper()
	url := newAnswering(t, func(_ int, request *http.Request) string { return answerWithField(place, request, line) })
	transport := newKeeping(t)
	got, err := sendCopied(t, transport, url, "r1")
	return transport, got, err
}

// eachPlace calls a check for each place that a field may have.
func eachPlace(t *testing.T, lines []string, check func(t *testing.T, place placeOfField, line string)) {
	t.Helper()
	for _, place := range []placeOfField{inHead, inInterim, inLaterHint, inTrailer, inTrailerOfEvents} {
		for _, line := range lines {
			t.Run(fmt.Sprintf("%s %q", place, line), func(t *testing.T) {
				t.Parallel()
				check(t, place, line)
			})
		}
	}
}

// Guards against a field whose name holds a blank and that is read by no one, so that a length, a transfer coding, an id or
// a refusal in it isn't seen (issue 61).
func TestBlankInAFieldsNameIsAFailureOfTheEndpoint(t *testing.T) {
	var lines []string
	for _, field := range []string{"Content-Length: 2", "Transfer-Encoding: chunked", idHeader + ": r2", "Not-Run: 1", "Connection: close", "X: y"} {
		name, value, _ := strings.Cut(field, ":")
		lines = append(lines, name+" :"+value, name+"  :"+value, name[:1]+" "+name[1:]+":"+value, strings.ToLower(name)+" :"+value)
	}
	eachPlace(t, append(lines, "Two Words: a", "A B C: a"), func(t *testing.T, place placeOfField, line string) {
		transport, got, err := sendForField(t, place, line)
		if !errors.Is(err, fieldname.ErrInvalid) || endpoint.Unsent(err) {
			t.Errorf("%q, %v; want %v, and that the request may have run", got, err, fieldname.ErrInvalid)
		}
		if kept := endpoint.Kept(transport); kept != 0 {
			t.Errorf("%d connections are kept, want none", kept)
		}
	})
}

// Guards against a length, an id or a refusal that isn't seen, since a blank or a tab before the name makes its line a part
// of the value before it.
func TestLineThatBeginsWithABlankIsAFailureOfTheEndpoint(t *testing.T) {
	for _, place := range []placeOfField{inHead, inInterim, inLaterHint} {
		for _, line := range []string{" Content-Length: 2", "\tNot-Run: 1", "  X: y", " ", "\t", " : a", " more of the value"} {
			t.Run(fmt.Sprintf("%s %q", place, line), func(t *testing.T) {
				t.Parallel()
				_, got, err := sendForField(t, place, line)
				if !errors.Is(err, fieldname.ErrInvalid) || endpoint.Unsent(err) {
					t.Errorf("%q, %v; want %v, and that the request may have run", got, err, fieldname.ErrInvalid)
				}
			})
		}
	}
}

// Guards against blanks that begin a line of a body, and are taken for those of a head.
func TestBlanksInABodyAreTaken(t *testing.T) {
	for name, answer := range map[string]string{
		"one read": answerWith("200 OK", "a\r\n b\n c"), "bare line feeds": "HTTP/1.1 200 OK\nContent-Length: 8\n\na\r\n b\n c",
		"after a hint": "HTTP/1.1 100 Continue\r\n\r\n" + answerWith("200 OK", "a\r\n b\n c"),
	} {
		t.Run(name, func(t *testing.T) {
			url := newAnswering(t, func(int, *http.Request) string { return answer })
			if got, err := sendCopied(t, newKeeping(t), url, "r1"); err != nil || got != "200 a\r\n b\n c" {
				t.Errorf("%q, %v; want the answer", got, err)
			}
		})
	}
}

// Guards against a field whose name holds a control byte, or another that no name may hold, and an answer that is passed
// on with it or without it.
func TestControlByteInAFieldsNameIsAFailureOfTheEndpoint(t *testing.T) {
	lines := []string{": empty", "Cont(ent: a", "Cont\"ent: a", "Cont\u00e9nt: a", "Cont\xffent: a", "No-Colon"}
	for char := range byte(' ') {
		if char != '\n' {
			lines = append(lines, "Cont"+string(rune(char))+"ent: a", "Content"+string(rune(char))+": a")
		}
	}
	eachPlace(t, append(lines, "Cont\x7fent: a"), func(t *testing.T, place placeOfField, line string) {
		if _, got, err := sendForField(t, place, line); err == nil || endpoint.Unsent(err) {
			t.Errorf("%q, %v; want an error, and that the request may have run", got, err)
		}
	})
}

// Guards against sound fields that are taken for broken ones.
func TestOddButSoundFieldsAreTaken(t *testing.T) {
	lines := []string{"!#$%&'*+-.^_`|~09azAZ: a", "x:a", "Empty:", "Blanks-Around:  \t a b \t ", "Colons: a:b :c", "_: a", "Non-ASCII: \u00e9"}
	eachPlace(t, lines, func(t *testing.T, place placeOfField, line string) {
		if _, got, err := sendForField(t, place, line); err != nil || got != "200 done" {
			t.Errorf("%q, %v; want the answer", got, err)
		}
	})
}
