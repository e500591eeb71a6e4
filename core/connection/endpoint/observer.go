package endpoint

// Oddity is a kind of observation.
type Oddity string

// The kinds of observations, as written to logs.
const (
	// SecondSend is a request that comes to an address once more while a connection that has carried it is open.
	SecondSend Oddity = "second_send"
	// CopiedRefusal is the repeated refusal of an earlier request, CopiedAnswer another answer that is repeated.
	CopiedRefusal Oddity = "copied_refusal"
	CopiedAnswer  Oddity = "copied_answer"
	// ForeignAnswer is an answer to a request that the connection hasn't carried.
	ForeignAnswer Oddity = "foreign_answer"
	// UnnamedAnswer is an answer without an id on a connection that has carried other requests.
	UnnamedAnswer Oddity = "unnamed_answer"
	// UnsolicitedAnswer is what came while no request was under way.
	UnsolicitedAnswer Oddity = "unsolicited_answer"
)

// Observation is something on a connection beyond one answer to each request.
type Observation struct {
	Oddity  Oddity
	Address string
	// Request is the id of the request that is under way, "" where there is none.
	Request string
	// Answered is the id that an answer bears, and Status is its status.
	Answered string
	Status   int
}

// oddityOf returns what an answer is that doesn't bear the id of the request under way.
func oddityOf(history history, answered string) Oddity {
	if answered == "" {
		return UnnamedAnswer
	}
	sent := history.find(answered)
	switch {
	case sent == nil || sent.status == 0:
		return ForeignAnswer
	case promises(sent.status):
		return CopiedRefusal
	default:
		return CopiedAnswer
	}
}
