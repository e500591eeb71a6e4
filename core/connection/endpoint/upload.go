package endpoint

import (
	"bytes"
	"slices"
)

var (
	headEnd = []byte("\r\n\r\n")
	// lastChunk ends a body of unknown length, together with the line end before it (RFC 9112, section 7.1).
	lastChunk = []byte("\r\n0\r\n\r\n")
)

// upload follows how much of a request has been written.
type upload struct {
	// length is that of the body in bytes, -1 if it isn't known.
	length int64
	// matched counts the bytes of headEnd that were written last. The head is written with all of them.
	matched   int
	bodyBytes int64
	// tail is the end of what was written, as long as lastChunk. It is kept for a body of unknown length alone.
	tail []byte
}

// add records bytes that were written.
func (upload *upload) add(data []byte) {
	if !upload.headWritten() {
		data = upload.skipHead(data)
	}
	upload.bodyBytes += int64(len(data))
	if upload.length < 0 && len(data) > 0 {
		upload.tail = slices.Concat(upload.tail, data[max(0, len(data)-len(lastChunk)):])
		upload.tail = upload.tail[max(0, len(upload.tail)-len(lastChunk)):]
	}
}

// skipHead records the bytes of the head, and returns those after it.
func (upload *upload) skipHead(data []byte) []byte {
	for index, char := range data {
		switch char {
		case headEnd[upload.matched]:
			upload.matched++
		case headEnd[0]:
			upload.matched = 1
		default:
			upload.matched = 0
		}
		if upload.headWritten() {
			upload.tail = headEnd[2:]
			return data[index+1:]
		}
	}
	return nil
}

func (upload *upload) headWritten() bool { return upload.matched == len(headEnd) }

// whole reports whether all of the request has been written.
func (upload *upload) whole() bool {
	switch {
	case !upload.headWritten():
		return false
	case upload.length < 0:
		return bytes.HasSuffix(upload.tail, lastChunk)
	default:
		return upload.bodyBytes >= upload.length
	}
}
