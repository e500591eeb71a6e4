package controller

import (
	"carobline.dev/core/compressed"
	"carobline.dev/core/step"
)

// compressThreshold is the size in bytes from which a command is compressed in
// the log.
const compressThreshold = 4 << 10

// compressCommand compresses a command of compressThreshold bytes or more and
// returns a smaller one unchanged.
func compressCommand(data []byte) ([]byte, error) {
	if len(data) < compressThreshold {
		return data, nil
	}
	packed, err := compressed.Pack(data)
	return packed, step.Wrap(err, "compress command")
}

// decompressCommand returns the data that was given to compressCommand.
func decompressCommand(data []byte) ([]byte, error) {
	if !compressed.Packed(data) {
		return data, nil
	}
	unpacked, err := compressed.Unpack(data)
	return unpacked, step.Wrap(err, "read compressed command")
}
