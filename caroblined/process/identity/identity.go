// Package identity stores the name and the start count of a node with a disk.
// The name is bound to the disk: a voter that has lost its disk has lost the
// record of its votes, so it must rejoin under a new name, even at its old
// address.
//
// # Usage
//
//	own, err := identity.Open(wal.OS(), folder, "10.0.0.4:7340", founders)
//	own.Node        // "10.0.0.4:7340~5f3a..."
//	own.Incarnation // 1 at the first start
package identity

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/step"
)

const (
	fileName   = "identity"
	folderPerm = 0o700
	// founderSuffix is fixed, not random as in other names, so that each of the
	// nodes that bootstrap a system can derive the names of the others.
	founderSuffix = "founder"
	suffixBytes   = 8
)

// Identity is a node's name and its incarnation, which counts the starts under
// that name.
type Identity struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Founders are the first voters of the system, for a node that is one of them. They
	// vote until the log holds other voters, and later starts may not receive them.
	Founders []id.Node `json:"founders,omitempty"`
}

// FounderName returns the name of the founding node at an address.
func FounderName(address string) id.Node { return id.Node(address + "~" + founderSuffix) }

// NewDiskless returns a new identity for one run of a node without a disk.
func NewDiskless(address string) Identity {
	return Identity{Node: newName(address), Incarnation: 1}
}

// newName returns the address with a random suffix.
func newName(address string) id.Node {
	var raw [suffixBytes]byte
	// The system's source of randomness doesn't fail on supported systems.
	_, _ = rand.Read(raw[:])
	return id.Node(address + "~" + hex.EncodeToString(raw[:]))
}

// Open reads the identity stored in a data folder, or creates one if the folder
// has none, and increments the incarnation. It returns once the identity is
// synced. With founders set, a folder without an identity gets the founder's name
// and keeps the names of all founders; neither is replaced once it is stored.
func Open(disk wal.Disk, folder, address string, founders []id.Node) (Identity, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return Identity{}, errors.Wrap(err, "make data folder")
	}
	path := filepath.Join(folder, fileName)
	stored, err := read(path)
	if err != nil {
		return Identity{}, err
	}
	if stored.Node == "" {
		stored.Node = newName(address)
		if len(founders) > 0 {
			stored.Node = FounderName(address)
		}
	}
	if stored.Node == FounderName(address) && len(stored.Founders) == 0 {
		stored.Founders = founders
	}
	stored.Incarnation++
	return stored, write(disk, folder, stored)
}

// read returns the stored identity, or a zero Identity if there is none.
func read(path string) (Identity, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, nil
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "read identity")
	}
	var stored Identity
	if err := json.Unmarshal(data, &stored); err != nil {
		return Identity{}, errors.Wrapf(err, "read identity %s", path)
	}
	return stored, nil
}

// write stores the identity and returns once it is synced.
func write(disk wal.Disk, folder string, stored Identity) error {
	data, err := json.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	return step.Wrap(wal.Replace(disk, folder, fileName, data), "write identity")
}
