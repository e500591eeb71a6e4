package drawnendpoint

import (
	"math/rand/v2"
	"slices"
)

// Extra is something that an endpoint writes though nothing asks for it.
type Extra string

// What an endpoint may write. The copies are of what it has written on the same connection.
const (
	CopyRefusal Extra = "copy of the latest refusal"
	// CopySame is the latest answer to the id of the request that is due, if one is.
	CopySame   Extra = "copy of an answer to the same id"
	CopyLatest Extra = "copy of the latest answer"
	CopyHead   Extra = "copy of the latest head"

	AnswerWithoutID  Extra = "answer without an id"
	RefusalWithoutID Extra = "refusal without an id"
	// AnswerToAnother and RefusalOfAnother name a request that isn't under way.
	AnswerToAnother  Extra = "answer to another"
	RefusalOfAnother Extra = "refusal of another"

	InterimAnswer Extra = "interim answer"
	// SwitchedProtocol ends HTTP on the connection, and OwnSwitchedProtocol names the request that is due.
	SwitchedProtocol    Extra = "switched protocol"
	OwnSwitchedProtocol Extra = "switched protocol for the request"
	// TwoIDs names the request that is due, and another.
	TwoIDs Extra = "answer with two ids"
	NoHTTP Extra = "bytes that are no answer"
)

// ExtraBody is the body of an answer that is no copy.
const ExtraBody = "extra"

// anotherID names no request.
const anotherID = "another"

// DrawExtra draws what is written though nothing asks for it.
func DrawExtra(random *rand.Rand) Extra {
	return pick(random, CopyRefusal, CopyRefusal, CopyRefusal, CopySame, CopySame, CopyLatest, CopyLatest, CopyHead,
		AnswerWithoutID, RefusalWithoutID, AnswerToAnother, RefusalOfAnother, TwoIDs, InterimAnswer, SwitchedProtocol, OwnSwitchedProtocol, NoHTTP)
}

// drawExtras draws some extras, none in most of oneIn cases.
func drawExtras(random *rand.Rand, oneIn int) []Extra {
	if random.IntN(oneIn) > 0 {
		return nil
	}
	var extras []Extra
	for range 1 + random.IntN(8)/6 {
		extras = append(extras, DrawExtra(random))
	}
	return extras
}

// extraText returns the bytes of an extra, none if there is nothing to copy. The id is that of the
// request that is due, if there is one. The caller holds the mutex.
func (conn *Conn) extraText(extra Extra, id string) string {
	names := &conn.endpoint.config.Names
	switch extra {
	case CopyRefusal:
		return conn.copyOf(func(answer answer) bool { return answer.refusal }).text()
	case CopySame:
		return conn.copyOf(func(answer answer) bool { return id == "" || answer.id == id }).text()
	case CopyLatest:
		return conn.copyOf(func(answer) bool { return true }).text()
	case CopyHead:
		return conn.copyOf(func(answer) bool { return true }).head
	case AnswerWithoutID:
		return "HTTP/1.1 200 OK\r\n" + names.Mark + ": m\r\nContent-Length: 5\r\n\r\n" + ExtraBody
	case RefusalWithoutID:
		return "HTTP/1.1 503 Service Unavailable\r\n" + names.notRun() + "\r\nContent-Length: 0\r\n\r\n"
	case AnswerToAnother:
		return "HTTP/1.1 200 OK\r\n" + names.RequestID + ": " + anotherID + "\r\n" + names.Mark + ": m\r\nContent-Length: 5\r\n\r\n" + ExtraBody
	case RefusalOfAnother:
		return "HTTP/1.1 503 Service Unavailable\r\n" + names.RequestID + ": " + anotherID + "\r\n" + names.notRun() + "\r\nContent-Length: 0\r\n\r\n"
	case InterimAnswer:
		return "HTTP/1.1 103 Early Hints\r\n\r\n"
	case SwitchedProtocol:
		return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
	case OwnSwitchedProtocol:
		return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n" + names.RequestID + ": " + id + "\r\n" + names.Mark + ": m\r\n\r\n"
	case TwoIDs:
		return "HTTP/1.1 200 OK\r\n" + names.RequestID + ": " + id + "\r\n" + names.RequestID + ": " + anotherID + "\r\n" + names.Mark + ": m\r\nContent-Length: 5\r\n\r\n" + ExtraBody
	case NoHTTP:
		return "\x00\x01 these bytes are no answer \r\n\r\n"
	default:
		return ""
	}
}

// copyOf returns the latest answer on the connection that is wanted, or an empty one.
func (conn *Conn) copyOf(wanted func(answer) bool) answer {
	for _, answer := range slices.Backward(conn.history) {
		if wanted(answer) {
			return answer
		}
	}
	return answer{}
}
