// Package headsize estimates what the head of an HTTP message takes of memory, as it is read.
//
// # Usage
//
//	size := headsize.Size{}
//	size.Add(read)
//	charge.Resize(now, size.Charged())
package headsize

import (
	"bytes"

	"carobline.dev/core/process/memory"
)

const (
	// byteFactor times the bytes of a head, and lineBytes for each of its lines, is what it takes while it is
	// read and once it is parsed: each line has an entry of a map, a list and two strings.
	byteFactor = 2
	lineBytes  = 350
	// freeBytes of what a head takes aren't charged, so that usual ones need no charge.
	freeBytes = 16 << 10
)

var headEnd = []byte("\r\n\r\n")

// Size is that of one head. The zero value is that of one of which nothing has been read.
type Size struct {
	bytes, lines int
	ended        bool
}

// Add counts bytes that were read. What follows the end of the head isn't counted.
func (size *Size) Add(read []byte) {
	if size.ended {
		return
	}
	if end := bytes.Index(read, headEnd); end >= 0 {
		read, size.ended = read[:end+len(headEnd)], true
	}
	size.bytes += len(read)
	size.lines += bytes.Count(read, []byte("\n"))
}

// Charged returns what is charged for the head.
func (size *Size) Charged() memory.Bytes {
	return memory.Bytes(max(0, byteFactor*size.bytes+lineBytes*size.lines-freeBytes))
}
