package endpoint

import (
	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
)

// unsentError is the error of a request of which no byte was written.
type unsentError struct{ cause error }

// Error implements error.
func (unsentError *unsentError) Error() string {
	return "no byte of the request was sent: " + unsentError.cause.Error()
}

// Unwrap returns the cause.
func (unsentError *unsentError) Unwrap() error { return unsentError.cause }

// Unsent reports whether a request failed so that no byte of it can have reached its endpoint.
func Unsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent) || rest.DialFailed(err)
}
