package register_test

import (
	"reflect"
	"strings"
	"testing"

	"carobline.dev/core/compressed"
	"carobline.dev/core/process/register"
)

func TestALongCommandIsCompressedInTheLog(t *testing.T) {
	for _, length := range []int{1, 4 << 10} {
		command := register.Command{Change: "c", Actor: strings.Repeat("a", length)}
		data, err := command.Encode()
		if err != nil || compressed.Packed(data) != (length > 1) {
			t.Fatalf("a command with %d bytes of an actor: compressed is %v (%v)", length, compressed.Packed(data), err)
		}
		decoded, err := register.DecodeCommand(data)
		if err != nil || !reflect.DeepEqual(decoded, command) {
			t.Errorf("a command with %d bytes of an actor is decoded otherwise (%v)", length, err)
		}
	}
	for _, damaged := range []string{"{", "\x1f\x8bxx"} {
		if _, err := register.DecodeCommand([]byte(damaged)); err == nil {
			t.Errorf("%q was decoded", damaged)
		}
	}
}
