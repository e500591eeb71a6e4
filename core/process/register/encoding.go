package register

import (
	"encoding/json"

	"carobline.dev/core/compressed"
	"carobline.dev/core/step"
)

// compressThreshold is the size in bytes from which a command is compressed in
// the log.
const compressThreshold = 4 << 10

// Encode returns a command as the log holds it: as JSON, compressed if that has
// compressThreshold bytes or more.
func (command *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(command)
	if err != nil || len(data) < compressThreshold {
		return data, err
	}
	packed, err := compressed.Pack(data)
	return packed, step.Wrap(err, "compress command")
}

// DecodeCommand returns the command of an entry of the log.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if compressed.Packed(data) {
		unpacked, err := compressed.Unpack(data)
		if err != nil {
			return Command{}, step.Wrap(err, "read compressed command")
		}
		data = unpacked
	}
	err := json.Unmarshal(data, &command)
	return command, err
}
