// Package step adds to an error the step that failed and, where there is one,
// the peer.
//
// # Usage
//
//	return step.Wrap(file.Close(), "close log")
package step

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Wrap adds a step, formatted as by fmt.Sprintf, to an error. Unlike errors.Wrap
// it returns nil for a nil error.
func Wrap(err error, format string, arguments ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, fmt.Sprintf(format, arguments...))
}
