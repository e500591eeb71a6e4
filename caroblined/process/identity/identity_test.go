package identity_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"carobline.dev/caroblined/process/identity"
	"carobline.dev/core/id"
	"carobline.dev/core/process/wal"
)

// TestNameIsBoundToDisk guards against a voter that has lost its disk, and with
// it the record of its votes, and rejoins under its old name. A new folder gets a
// new name, and the founder's name only when founders are given. These are kept.
func TestNameIsBoundToDisk(t *testing.T) {
	const address = "10.0.0.1:1"
	founders := []id.Node{identity.FounderName(address), "10.0.0.2:1~founder"}
	folder := filepath.Join(t.TempDir(), "data")
	first, err := identity.Open(wal.OS(), folder, address, founders)
	if err != nil || first.Node != identity.FounderName(address) || first.Incarnation != 1 {
		t.Fatalf("%+v %v", first, err)
	}
	second, err := identity.Open(wal.OS(), folder, address, nil)
	if err != nil || second.Node != first.Node || second.Incarnation != 2 || !slices.Equal(second.Founders, founders) {
		t.Fatalf("%+v %v", second, err)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	wiped, err := identity.Open(wal.OS(), folder, address, nil)
	if err != nil || wiped.Node == first.Node || wiped.Incarnation != 1 || wiped.Founders != nil {
		t.Fatalf("%+v %v", wiped, err)
	}
}
