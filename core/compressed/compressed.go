// Package compressed compresses what is stored in the log and sent to nodes, with gzip.
//
// # Usage
//
//	packed, err := compressed.Pack(plain)
//	plain, err = compressed.Unpack(packed)
package compressed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/go-faster/errors"
)

// magic begins packed data.
var magic = []byte{0x1f, 0x8b}

// Pack compresses data.
func Pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

// Packed reports whether data begins as Pack's results do. JSON never does.
func Packed(data []byte) bool { return bytes.HasPrefix(data, magic) }

// Unpack returns the data that was given to Pack.
func Unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return data, nil
}
