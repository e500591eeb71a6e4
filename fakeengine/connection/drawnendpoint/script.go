package drawnendpoint

import (
	"fmt"
	"math/rand/v2"
	"net/http"
)

// Outcome is what becomes of a request and its own answer.
type Outcome string

// The outcomes of a request. All but Refuse run it, and the last four end the connection early.
const (
	Sound    Outcome = "sound"
	Refuse   Outcome = "refuse"
	NoAnswer Outcome = "no answer"
	CutHead  Outcome = "cut head"
	HeadOnly Outcome = "head only"
	CutBody  Outcome = "cut body"
)

// Framing is how an answer shows where its body ends.
type Framing string

// The framings of RFC 9112, section 6.3.
const (
	NoBody     Framing = "no body"
	Length     Framing = "length"
	Chunked    Framing = "chunked"
	UntilClose Framing = "until close"
)

// Ending is what becomes of the connection after an answer.
type Ending string

// The endings of a connection.
const (
	Keep      Ending = "keep"
	Close     Ending = "close"
	Reset     Ending = "reset"
	HalfClose Ending = "half-close"
)

// Script is what an endpoint does with one request.
type Script struct {
	Outcome Outcome
	// Status is that of the answer. Marked refusals state that the request hasn't run.
	Status int
	Marked bool
	// Early answers before the request's body has been read.
	Early bool
	// Interim is the number of interim answers before the answer.
	Interim int
	Framing Framing
	// SaysClose adds Connection: close.
	SaysClose bool
	Ending    Ending
	// Due is written before the answer, After directly after it, and OnNext when the next request
	// on the connection begins.
	Due, After, OnNext []Extra
	// EndingOnNext is what becomes of the connection then, before the request is read.
	EndingOnNext Ending
}

// String implements fmt.Stringer.
func (script Script) String() string {
	text := fmt.Sprintf("%s %d, %s, %s", script.Outcome, script.Status, script.Framing, script.Ending)
	for _, part := range []struct {
		name string
		set  bool
	}{{"marked", script.Marked}, {"early", script.Early}, {"says close", script.SaysClose}, {fmt.Sprint("interim ", script.Interim), script.Interim > 0}} {
		if part.set {
			text += ", " + part.name
		}
	}
	return text + fmt.Sprintf(", due %v, after %v, on next %v, %s", script.Due, script.After, script.OnNext, script.EndingOnNext)
}

// clean reports whether the request is answered soundly, and nothing keeps the answer from being read.
func (script *Script) clean() bool {
	return script.Outcome == Sound && !script.Early && script.Ending != Reset && len(script.Due) == 0
}

// tidy reports whether the connection is as good as new after the script.
func (script *Script) tidy() bool {
	whole := script.Outcome == Sound || script.Outcome == Refuse
	return whole && !script.Early && !script.SaysClose && script.Ending == Keep && script.EndingOnNext == Keep && len(script.Due)+len(script.After)+len(script.OnNext) == 0
}

// promisingStatuses are the statuses which state that a request hasn't run.
var promisingStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout}

// DrawScript draws a script.
func DrawScript(random *rand.Rand) Script {
	script := Script{Status: http.StatusOK, Framing: pick(random, NoBody, Length, Length, Length, Chunked, Chunked, Chunked, UntilClose), Ending: DrawEnding(random, 6), EndingOnNext: DrawEnding(random, 16)}
	script.Outcome = pick(random, Sound, Sound, Sound, Sound, Sound, Sound, Refuse, Refuse, Refuse, Refuse, Refuse, pick(random, NoAnswer, CutHead, HeadOnly, CutBody))
	script.SaysClose = random.IntN(16) == 0
	script.Early = random.IntN(8) == 0
	if random.IntN(6) == 0 {
		script.Interim = 1 + random.IntN(3)
	}
	if script.Outcome == Refuse {
		script.Status, script.Marked = pick(random, promisingStatuses...), random.IntN(4) > 0
		script.Framing = pick(random, NoBody, NoBody, NoBody, script.Framing)
	}
	script.Due = drawExtras(random, 4)
	script.After = drawExtras(random, 8)
	script.OnNext = drawExtras(random, 8)
	script.settle(random)
	return script
}

// DrawEnding draws what becomes of a connection. It isn't kept in one of oneIn cases.
func DrawEnding(random *rand.Rand, oneIn int) Ending {
	if random.IntN(oneIn) > 0 {
		return Keep
	}
	return pick(random, Close, Reset, HalfClose)
}

// settle makes a script one that can be distinguished from another: what has no length ends with its
// connection, and is whole unless that is reset.
func (script *Script) settle(random *rand.Rand) {
	switch script.Outcome {
	case NoAnswer, CutHead, HeadOnly, CutBody:
		if script.Ending == Keep {
			script.Ending = pick(random, Close, Reset, HalfClose)
		}
		script.After, script.OnNext = nil, nil
	case Sound, Refuse:
	}
	if script.Framing != UntilClose {
		return
	}
	script.After, script.OnNext = nil, nil
	switch {
	case script.Outcome == HeadOnly || script.Outcome == CutBody:
		script.Ending = Reset
	case script.Ending == Keep:
		script.Ending = pick(random, Close, HalfClose)
	}
}

// pick draws one of some choices.
func pick[Choice any](random *rand.Rand, choices ...Choice) Choice {
	return choices[random.IntN(len(choices))]
}
