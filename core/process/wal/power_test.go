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

// lossyDisk simulates what a folder holds after a power loss: of each file the
// content at its last sync, and of the file names those at the folder's last sync.
// Each name that has changed since is kept or lost at random.
type lossyDisk struct {
	t      *testing.T
	random *rand.Rand
	folder string
	// syncedByInode holds the synced content of each file, and inodeByName the synced
	// names of the folder.
	syncedByInode map[uint64][]byte
	inodeByName   map[string]uint64
	// lossFolders are copies of the folder, as it would be after a power loss at each
	// of the moments that were tried.
	lossFolders []string
}

func newLossyDisk(t *testing.T, random *rand.Rand, folder string) *lossyDisk {
	t.Helper()
	return &lossyDisk{t: t, random: random, folder: folder, syncedByInode: map[uint64][]byte{}, inodeByName: map[string]uint64{}}
}

func (disk *lossyDisk) calls() wal.Disk {
	return wal.Disk{Write: (*os.File).Write, Sync: disk.sync, Rename: os.Rename}
}

func inode(info os.FileInfo) uint64 { return info.Sys().(*syscall.Stat_t).Ino }

// sync records a file's content or the folder's names as synced, and simulates a
// power loss just before and just after.
func (disk *lossyDisk) sync(file *os.File) error {
	disk.lossFolders = append(disk.lossFolders, disk.losePower())
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.IsDir() {
		disk.inodeByName = disk.listed()
	} else {
		data, err := os.ReadFile(file.Name())
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		disk.syncedByInode[inode(info)] = data
	}
	disk.lossFolders = append(disk.lossFolders, disk.losePower())
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

// losePower returns a new folder with what a power loss at this moment would leave.
func (disk *lossyDisk) losePower() string {
	folderAfterLoss := disk.t.TempDir()
	currentInodeByName := disk.listed()
	allNames := map[string]bool{}
	for name := range currentInodeByName {
		allNames[name] = true
	}
	for name := range disk.inodeByName {
		allNames[name] = true
	}
	for name := range allNames {
		fileInode, ok := disk.inodeByName[name]
		if disk.random.IntN(2) == 0 {
			fileInode, ok = currentInodeByName[name]
		}
		if !ok {
			continue
		}
		if err := os.WriteFile(filepath.Join(folderAfterLoss, name), disk.syncedByInode[fileInode], 0o600); err != nil {
			disk.t.Fatal(err)
		}
	}
	return folderAfterLoss
}

func reopen(folder string) (quorum.Stored, error) {
	log, stored, err := wal.Open(folder, wal.OS())
	if err != nil {
		return quorum.Stored{}, err
	}
	return stored, log.Close()
}

// TestPowerLossKeepsWhatWasAcknowledged checks that the log opens after a power loss
// at any sync. It must hold all earlier saves, and either all or nothing of the save
// in progress, or only its snapshot; after Save has returned it must hold that save.
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
			write := randomWrite(random, want)
			before := clone(want)
			disk.lossFolders = nil
			if err := log.Save(write); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			applyToModel(&want, write)
			for moment, folderAfterLoss := range disk.lossFolders {
				got, err := reopen(folderAfterLoss)
				if err != nil {
					t.Fatalf("seed %d, save %d, moment %d: %v", seed, step, moment, err)
				}
				if !equal(got, before) && !equal(got, want) && !equal(got, snapshotOnly(before, write)) {
					t.Fatalf("seed %d, save %d, moment %d: %s", seed, step, moment, cmp.Diff(want, got, cmpopts.EquateEmpty()))
				}
			}
			if got, err := reopen(disk.losePower()); err != nil || !equal(got, want) {
				t.Fatalf("seed %d, save %d: acknowledged writes are lost after a power loss: %v %s", seed, step, err, cmp.Diff(want, got, cmpopts.EquateEmpty()))
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// snapshotOnly returns what a save with a snapshot leaves when it ends between its
// two files: the new snapshot, and the old log with the term and vote of before,
// which are all that was acknowledged.
func snapshotOnly(before quorum.Stored, write quorum.DiskWrite) quorum.Stored {
	stored := clone(before)
	if write.Snapshot != nil {
		applyToModel(&stored, quorum.DiskWrite{Snapshot: write.Snapshot, Entries: write.Entries})
	}
	return stored
}

func equal(a, b quorum.Stored) bool { return cmp.Equal(a, b, cmpopts.EquateEmpty()) }

func clone(stored quorum.Stored) quorum.Stored {
	copied := stored
	copied.Entries = append([]quorum.Entry(nil), stored.Entries...)
	return copied
}
