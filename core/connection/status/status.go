// Package status defines which HTTP statuses may end an answer.
//
// # Usage
//
//	if err := status.Check(response.StatusCode); err != nil { ... } // the peer has failed
package status

import "github.com/go-faster/errors"

const (
	least = 200
	most  = 599
)

// ErrInvalid reports an answer that ends with a status which no answer may end with: one outside of
// 100 to 599, or an interim one (1xx). Whether its request has run is unknown.
var ErrInvalid = errors.New("the answer has an invalid status")

// Check returns an error that is ErrInvalid for the status of an answer that can't be one.
func Check(code int) error {
	if code < least || code > most {
		return errors.Wrapf(ErrInvalid, "status %03d", code)
	}
	return nil
}
