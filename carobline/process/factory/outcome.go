package factory

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

// ShowOutcome prints an accepted change as a table of one row. It returns the error of
// VerdictError, and prints nothing, for any other.
func ShowOutcome(printer *printer.Printer, outcome controller.Outcome, subject string, head, row []string) error {
	if err := VerdictError(*outcome.Result, subject); err != nil {
		return err
	}
	return printer.Show(outcome, head, [][]string{row})
}

// VerdictError returns the error for a result that is a conflict, with
// ExitConflict, or a refusal, with ExitFailed. It returns nil for other results.
// The error text starts with subject.
func VerdictError(result register.Result, subject string) error {
	switch result.Verdict {
	case register.VerdictConflict:
		winner := ""
		if result.Winner != nil {
			contract, err := json.Marshal(result.Winner.Contract)
			if err != nil {
				return errors.Wrap(err, "encode current contract")
			}
			winner = "\ncurrent contract: " + string(contract)
		}
		return &Error{Code: ExitConflict, Err: errors.Errorf(
			"%s: conflict with another change: %s; review the current state, then run the command again%s", subject, result.Reason, winner,
		)}
	case register.VerdictRefused:
		return &Error{Code: ExitFailed, Err: errors.Errorf("%s: refused: %s", subject, result.Reason)}
	default:
		return nil
	}
}
