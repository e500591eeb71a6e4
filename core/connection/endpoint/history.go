package endpoint

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// history is the requests that one connection has carried, in their order.
type history []sentRequest

// sentRequest is one request that a connection has carried.
type sentRequest struct {
	id requestHash
	// status is that of the answer, 0 until it has come.
	status int
}

// requestHash stands for a request's id. Two ids with one hash cost a new connection.
type requestHash uint64

//nolint:gochecknoglobals // the hashes of one process are compared with each other
var hashSeed = maphash.MakeSeed()

func hashOf(id string) requestHash { return requestHash(maphash.String(hashSeed, id)) }

// find returns the latest request with an id, or nil where the connection hasn't carried it.
func (history history) find(id string) *sentRequest {
	hash := hashOf(id)
	for index := range slices.Backward(history) {
		if history[index].id == hash {
			return &history[index]
		}
	}
	return nil
}

// promises reports a status by which an endpoint states that it hasn't run the request and won't.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
