package endpoint

import (
	"github.com/go-faster/errors"

	"carobline.dev/core/connection/fieldname"
	"carobline.dev/core/connection/status"
)

// Answered reports whether a request failed though its endpoint had written a whole answer's head, which belongs to
// another request or is invalid: the endpoint's process runs.
func Answered(err error) bool {
	return errors.Is(err, ErrForeignAnswer) || errors.Is(err, status.ErrInvalid) || errors.Is(err, fieldname.ErrInvalid)
}
