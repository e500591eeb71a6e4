package identity_test

import (
	"os"
	"path/filepath"
	"testing"

	"carobline.dev/caroblined/process/identity"
	"carobline.dev/core/process/wal"
)

// TestNameIsBoundToDisk guards against a voter that has lost its disk, and with
// it the record of its votes, and rejoins under its old name. A new folder gets a
// new name, and the founder's name only when founder is set.
func TestNameIsBoundToDisk(t *testing.T) {
	const address = "10.0.0.1:1"
	folder := filepath.Join(t.TempDir(), "data")
	first, err := identity.Open(wal.OS(), folder, address, true)
	if err != nil || first.Node != identity.FounderName(address) || first.Incarnation != 1 {
		t.Fatalf("%+v %v", first, err)
	}
	second, err := identity.Open(wal.OS(), folder, address, false)
	if err != nil || second.Node != first.Node || second.Incarnation != 2 {
		t.Fatalf("%+v %v", second, err)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	wiped, err := identity.Open(wal.OS(), folder, address, false)
	if err != nil || wiped.Node == first.Node || wiped.Incarnation != 1 {
		t.Fatalf("%+v %v", wiped, err)
	}
}
