package controlhost_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"carobline.dev/core/process/loopback"
	"carobline.dev/measure/process/controlhost"
)

// TestControlHostEndsWithItsInput guards against control hosts that stay when the process
// that started them was killed.
func TestControlHostEndsWithItsInput(t *testing.T) {
	addresses := loopback.ClaimFor(t)
	peerAddress, controlAddress := addresses.Address(0, 0), addresses.Address(0, 1)
	data, err := json.Marshal(controlhost.Settings{
		PeerAddress: peerAddress, ControlAddress: controlAddress, Seeds: []string{peerAddress}, DataFolder: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := controlhost.Run(t.Context(), path, strings.NewReader(""), t.Output()); err != nil {
		t.Error(err)
	}
}
