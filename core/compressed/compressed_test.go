package compressed_test

import (
	"bytes"
	"testing"

	"carobline.dev/core/compressed"
)

func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	for _, data := range [][]byte{nil, []byte("{}"), bytes.Repeat([]byte("a"), 100_000)} {
		packed, err := compressed.Pack(data)
		if err != nil || !compressed.Packed(packed) {
			t.Fatalf("%d bytes are packed as %x, %v", len(data), packed, err)
		}
		unpacked, err := compressed.Unpack(packed)
		if err != nil || !bytes.Equal(unpacked, data) {
			t.Errorf("%d bytes are unpacked as %d bytes, %v", len(data), len(unpacked), err)
		}
	}
}

func TestUnpackFailsForDataThatIsCutOff(t *testing.T) {
	packed, err := compressed.Pack([]byte("some data"))
	if err != nil {
		t.Fatal(err)
	}
	for length := range packed {
		if data, err := compressed.Unpack(packed[:length]); err == nil {
			t.Errorf("the first %d of %d bytes are unpacked as %q", length, len(packed), data)
		}
	}
}
