package balancer

import "time"

// inactivity is the time in which calls at an endpoint are reported for lack of progress, from
// the first report to the next progress of any call there. Its pause is that of one report,
// however many there are until the endpoint is tried again. It is zero while none is reported.
type inactivity struct {
	// calls counts the reports.
	calls int
	// pause is how long the endpoint gets no calls. It doubles with each try that is
	// reported too.
	pause      time.Duration
	avoidUntil time.Time
	// trying reports that a call has been sent there since the last report.
	trying bool
	// stalled reports that the endpoint counts as stalled until avoidUntil.
	stalled bool
	// startsOnly reports that streams went on while an answer didn't begin, so that only
	// the beginning of another ends the inactivity.
	startsOnly bool
}

// record adds a report, after which the endpoint gets no calls for at least minPause.
func (inactivity *inactivity) record(now time.Time, minPause time.Duration) {
	if inactivity.trying {
		inactivity.pause = min(maxFailurePause, 2*inactivity.pause)
	}
	inactivity.calls++
	inactivity.trying = false
	inactivity.pause = max(inactivity.pause, minPause)
	if until := now.Add(inactivity.pause); until.After(inactivity.avoidUntil) {
		inactivity.avoidUntil = until
	}
}

// try records that a call is sent to the endpoint. The next one is sent there only after
// another pause, or when the endpoint makes progress. The endpoint doesn't count as stalled
// unless that call is reported too.
func (inactivity *inactivity) try(now time.Time) {
	if inactivity.calls == 0 || now.Before(inactivity.avoidUntil) {
		return
	}
	inactivity.trying, inactivity.stalled, inactivity.avoidUntil = true, false, now.Add(inactivity.pause)
}
