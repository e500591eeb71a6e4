// Package identity keeps what a node with a disk must remember of itself: a
// name that lives and dies with the disk, and how often the node has started. A
// voter that has lost its disk has forgotten its votes, so it must come back
// under another name, even at its old address.
//
// # Usage
//
//	own, err := identity.Open(folder, "10.0.0.4:7340", founder)
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
	// founderSuffix names the nodes that begin a system together, so that each
	// of them knows the names of the others.
	founderSuffix = "founder"
	suffixBytes   = 8
)

// Identity is what a node is called in this life.
type Identity struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// FounderName is the name of the founding node at an address.
func FounderName(address string) id.Node { return id.Node(address + "~" + founderSuffix) }

// NewDiskless is a new name for a life of a node that remembers nothing.
func NewDiskless(address string) Identity {
	return Identity{Node: newName(address), Incarnation: 1}
}

func newName(address string) id.Node {
	var raw [suffixBytes]byte
	// The system's source of randomness doesn't fail on supported systems.
	_, _ = rand.Read(raw[:])
	return id.Node(address + "~" + hex.EncodeToString(raw[:]))
}

// Open reads the identity that a data folder holds, or makes one when the
// folder is new, and counts the start. It returns once all is synced. The name
// of a founder is only given to a folder that is new.
func Open(folder, address string, founder bool) (Identity, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return Identity{}, errors.Wrap(err, "make data folder")
	}
	path := filepath.Join(folder, fileName)
	known, err := read(path)
	if err != nil {
		return Identity{}, err
	}
	if known.Node == "" {
		known.Node = newName(address)
		if founder {
			known.Node = FounderName(address)
		}
	}
	known.Incarnation++
	return known, write(folder, known)
}

func read(path string) (Identity, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, nil
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "read identity")
	}
	var known Identity
	if err := json.Unmarshal(data, &known); err != nil {
		return Identity{}, errors.Wrapf(err, "read identity %s", path)
	}
	return known, nil
}

// write returns once the identity is synced.
func write(folder string, known Identity) error {
	data, err := json.Marshal(known)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	return step.Wrap(wal.Replace(wal.OS(), folder, fileName, data), "write identity")
}
