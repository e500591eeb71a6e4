package endpoint

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/fieldname"
)

// provenBody is the body of an answer. It fails at its end unless that shows that the answer is whole, and its trailer is
// sound.
type provenBody struct {
	io.ReadCloser
	response *http.Response
	wire     *wire
}

// Read implements io.Reader.
func (body *provenBody) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		err = body.end()
	}
	return count, err
}

// end returns io.EOF, or why the end doesn't show that the answer is whole and sound.
func (body *provenBody) end() error {
	if body.cut() {
		return ErrCutInUpload
	}
	if err := fieldname.Check(body.response.Trailer); err != nil {
		return errors.Wrap(err, "trailer")
	}
	return io.EOF
}

// cut reports that the answer may have been cut, where only the end of its connection ends it.
func (body *provenBody) cut() bool {
	if body.response.ContentLength >= 0 || len(body.response.TransferEncoding) > 0 {
		return false
	}
	switch body.wire.end() {
	case endedByReset:
		return true
	case endedEarly:
		// An endpoint may refuse a request before it has read it, but can't have run it.
		return body.response.StatusCode < http.StatusMultipleChoices
	default:
		return false
	}
}
