package memory_test

import (
	"testing"

	"carobline.dev/core/process/memory"
)

// Guards against connections of one address that count as so many holders, each with its share.
func TestHolderAtAnAddressHasNoPort(t *testing.T) {
	for address, want := range map[string]string{
		"127.0.0.1:80": "127.0.0.1", "[::1]:80": "::1", "[fe80::1%lo]:80": "fe80::1%lo", "127.0.0.1": "127.0.0.1", "pipe": "pipe", "": "",
	} {
		if got := memory.HolderAt(memory.Caller, address); got != (memory.Holder{Kind: memory.Caller, Name: want}) {
			t.Errorf("the holder at %q is %+v, want %q", address, got, want)
		}
	}
}
