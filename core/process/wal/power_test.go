package wal_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/wal"
)

// lossyDisk knows what a folder holds after a loss of power: of each file what
// its last sync covered, and of the names those that were there at the folder's
// last sync. Each name that has changed since is kept or lost independently.
type lossyDisk struct {
	t        *testing.T
	random   *rand.Rand
	folder   string
	contents map[uint64][]byte
	names    map[string]uint64
	// lost holds what was left at each moment of power loss that was tried.
	lost []string
}

func newLossyDisk(t *testing.T, random *rand.Rand, folder string) *lossyDisk {
	t.Helper()
	return &lossyDisk{t: t, random: random, folder: folder, contents: map[uint64][]byte{}, names: map[string]uint64{}}
}

func (disk *lossyDisk) calls() wal.Disk { return wal.Disk{Write: (*os.File).Write, Sync: disk.sync} }

func inode(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }

// sync makes a file's bytes or a folder's names last, and tries a loss of power
// just before and just after.
func (disk *lossyDisk) sync(file *os.File) error {
	disk.lost = append(disk.lost, disk.losePower())
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.IsDir() {
		disk.names = disk.listed()
	} else {
		data, err := os.ReadFile(file.Name())
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		disk.contents[inode(info)] = data
	}
	disk.lost = append(disk.lost, disk.losePower())
	return nil
}

func (disk *lossyDisk) listed() map[string]uint64 {
	entries, err := os.ReadDir(disk.folder)
	if err != nil {
		disk.t.Fatal(err)
	}
	names := map[string]uint64{}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			disk.t.Fatal(err)
		}
		names[entry.Name()] = inode(info)
	}
	return names
}

// losePower makes a folder of what would be left at this moment.
func (disk *lossyDisk) losePower() string {
	left := disk.t.TempDir()
	present := disk.listed()
	all := map[string]bool{}
	for name := range present {
		all[name] = true
	}
	for name := range disk.names {
		all[name] = true
	}
	for name := range all {
		number, ok := disk.names[name]
		if disk.random.IntN(2) == 0 {
			number, ok = present[name]
		}
		if !ok {
			continue
		}
		if err := os.WriteFile(filepath.Join(left, name), disk.contents[number], 0o600); err != nil {
			disk.t.Fatal(err)
		}
	}
	return left
}

func reopen(folder string) (quorum.Stored, error) {
	log, stored, err := wal.Open(folder, wal.OS())
	if err != nil {
		return quorum.Stored{}, err
	}
	return stored, log.Close()
}

// After a loss of power at any moment the log opens, and holds either all that
// was saved before or also what was being saved; once Save has returned it holds
// that too.
func TestPowerLossKeepsWhatWasAcknowledged(t *testing.T) {
	for seed := range uint64(25) {
		random := rand.New(rand.NewPCG(seed, 5))
		folder := t.TempDir()
		disk := newLossyDisk(t, random, folder)
		log, _, err := wal.Open(folder, disk.calls())
		if err != nil {
			t.Fatal(err)
		}
		var want quorum.Stored
		for step := range 25 {
			save := randomSave(random, want)
			before := clone(want)
			disk.lost = nil
			if err := log.Save(save); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			naive(&want, save)
			for moment, left := range disk.lost {
				got, err := reopen(left)
				if err != nil {
					t.Fatalf("seed %d, save %d, moment %d: %v", seed, step, moment, err)
				}
				if !same(got, before) && !same(got, want) && !same(got, snapshotOnly(before, save)) {
					t.Fatalf("seed %d, save %d, moment %d: %s", seed, step, moment, cmp.Diff(want, got, cmpopts.EquateEmpty()))
				}
			}
			if got, err := reopen(disk.losePower()); err != nil || !same(got, want) {
				t.Fatalf("seed %d, save %d: what was acknowledged is lost: %v %s", seed, step, err, cmp.Diff(want, got, cmpopts.EquateEmpty()))
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// snapshotOnly is what is left between the two files of a save with a snapshot,
// which replaces the snapshot before the log: the term and vote that were promised
// before, which is all that was acknowledged.
func snapshotOnly(before quorum.Stored, save quorum.DiskWrite) quorum.Stored {
	mixed := clone(before)
	if save.Snapshot != nil {
		naive(&mixed, quorum.DiskWrite{Snapshot: save.Snapshot, Entries: save.Entries})
	}
	return mixed
}

func same(a, b quorum.Stored) bool { return cmp.Equal(a, b, cmpopts.EquateEmpty()) }

func clone(stored quorum.Stored) quorum.Stored {
	copied := stored
	copied.Entries = append([]quorum.Entry(nil), stored.Entries...)
	return copied
}
