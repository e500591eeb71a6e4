package controller

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// compressThreshold is the size in bytes from which a command is compressed in
// the log.
const compressThreshold = 4 << 10

// gzipMagic begins compressed data. It can't begin an uncompressed command,
// which is JSON and begins with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// compressCommand compresses a command of compressThreshold bytes or more and
// returns a smaller one unchanged.
func compressCommand(data []byte) ([]byte, error) {
	if len(data) < compressThreshold {
		return data, nil
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress command")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress command")
	}
	return compressed.Bytes(), nil
}

// decompressCommand returns the data that was given to compressCommand.
func decompressCommand(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "read compressed command")
	}
	decompressed, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "read compressed command")
	}
	return decompressed, nil
}
