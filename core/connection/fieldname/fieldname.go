// Package fieldname defines which names the fields of an answer may have, in its head, in the head of an interim answer
// and in its trailer (RFC 9110, section 5.1). net/http takes a name with blanks as one that nothing reads, so that a
// length, an id or a refusal under it isn't seen, and the rest of the answer can't be trusted.
//
// # Usage
//
//	if err := fieldname.Check(response.Header); err != nil { ... } // the peer has failed
package fieldname

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// tokenChars are the characters of a name (RFC 9110, section 5.6.2).
const tokenChars = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// ErrInvalid reports an answer with a field whose name no field may have. Whether its request has run is unknown.
var ErrInvalid = errors.New("the answer has a field with an invalid name")

// Check returns an error that is ErrInvalid for fields of which one has an invalid name.
func Check(fields http.Header) error {
	for name := range fields {
		// A name of these characters alone is trimmed to nothing.
		if name == "" || strings.Trim(name, tokenChars) != "" {
			return errors.Wrapf(ErrInvalid, "field %q", name)
		}
	}
	return nil
}
