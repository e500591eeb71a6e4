package rest_test

import (
	"testing"

	"carobline.dev/core/connection/fieldname"
)

// Guards against an answer of a peer in whose head the name of a field holds a blank, and that counts as one.
func TestBlankInAFieldsNameOfAPeerIsAnError(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) { wantBrokenPeer(t, status+"\r\nContent-Length : 2", fieldname.ErrInvalid) })
	}
}
