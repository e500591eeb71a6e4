package step

import (
	"runtime/debug"

	"github.com/go-faster/errors"
)

// Recover runs work and returns its error. A panic of work on the calling goroutine becomes an
// error with its reason and stack.
func Recover(work func() error) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = errors.Errorf("panic: %v\n%s", reason, debug.Stack())
		}
	}()
	return work()
}
