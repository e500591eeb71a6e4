package controller

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// packedBytes is from what size on a command is compressed in the log.
const packedBytes = 4 << 10

// packedMark begins compressed data; a command in JSON begins with a brace.
var packedMark = []byte{0x1f, 0x8b}

// pack compresses a large command.
func pack(data []byte) ([]byte, error) {
	if len(data) < packedBytes {
		return data, nil
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress command")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress command")
	}
	return packed.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, packedMark) {
		return data, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "read compressed command")
	}
	plain, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "read compressed command")
	}
	return plain, nil
}
