// Package step names the step, and the peer, at which an error arose.
//
// # Usage
//
//	return step.Wrap(file.Close(), "close log")
package step

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Wrap adds a step to an error. Unlike errors.Wrap it leaves nil as it is.
func Wrap(err error, format string, arguments ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, fmt.Sprintf(format, arguments...))
}
