package wal_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/wal"
)

// applyToModel is a reference implementation of Save on a value in memory.
func applyToModel(stored *quorum.Stored, write quorum.DiskWrite) {
	if write.HardState != nil {
		stored.HardState = *write.HardState
	}
	first := id.Index(1)
	if write.Snapshot != nil {
		stored.Snapshot, stored.Entries = write.Snapshot, nil
	}
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	for _, entry := range write.Entries {
		stored.Entries = append(slices.Clone(stored.Entries[:entry.Index-first]), entry)
	}
}

// randomWrite returns a random write that a voter could save after what is stored.
func randomWrite(random *rand.Rand, stored quorum.Stored) quorum.DiskWrite {
	first := id.Index(1)
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	var write quorum.DiskWrite
	if random.IntN(3) == 0 {
		write.HardState = &quorum.HardState{Term: id.Term(random.IntN(9)), Vote: "a"}
	}
	if length := len(stored.Entries); length > 3 && random.IntN(6) == 0 {
		cut := random.IntN(length)
		write.Snapshot = &quorum.Snapshot{Index: first + id.Index(cut), Term: 1, Data: []byte(fmt.Sprint(random.Uint64()))}
		write.Entries = slices.Clone(stored.Entries[cut+1:])
		return write
	}
	next := first + id.Index(random.IntN(len(stored.Entries)+1))
	for range random.IntN(4) {
		write.Entries = append(write.Entries, quorum.Entry{Index: next, Term: 2, Data: []byte(fmt.Sprint(random.Uint64()))})
		next++
	}
	return write
}

// TestSavesMatchModel compares what Open reads with the model of all saves, over
// restarts and with a torn write after the last sync.
func TestSavesMatchModel(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		folder := t.TempDir()
		var want quorum.Stored
		for range 4 {
			log, got, err := wal.Open(folder, wal.OS())
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("seed %d: stored (-want +got):\n%s", seed, diff)
			}
			for range 12 {
				write := randomWrite(random, want)
				if err := log.Save(write); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				applyToModel(&want, write)
			}
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
			tear(t, random, folder)
		}
	}
}

// tear appends the start of a frame to the log file, as a torn write would leave it.
func tear(t *testing.T, random *rand.Rand, folder string) {
	t.Helper()
	torn := []byte{40, 0, 0, 0, 1, 2, 3, 4, '{', '"', 'h', 'a', 'r', 'd'}
	file, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.Write(torn[:random.IntN(len(torn)+1)]); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// fill writes a log of several frames and a snapshot to a folder.
func fill(t *testing.T, folder string) {
	t.Helper()
	log, _, err := wal.Open(folder, wal.OS())
	if err != nil {
		t.Fatal(err)
	}
	for index := range id.Index(5) {
		write := quorum.DiskWrite{HardState: &quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: index + 1, Term: 1, Data: []byte("data")}}}
		if index == 4 {
			write = quorum.DiskWrite{Snapshot: &quorum.Snapshot{Index: 2, Term: 1, Data: []byte("state")}, Entries: []quorum.Entry{{Index: 3, Term: 1}, {Index: 4, Term: 1}}}
		}
		if err := log.Save(write); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Save(quorum.DiskWrite{Entries: []quorum.Entry{{Index: 5, Term: 1}}}); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestDamageIsRefused checks that Open returns ErrCorrupt for damage that must not be
// taken for a torn write.
func TestDamageIsRefused(t *testing.T) {
	tests := []struct {
		name, file string
		damage     func(data []byte) []byte
	}{
		{"a flipped bit in an earlier frame", "log", func(data []byte) []byte { data[12] ^= 1; return data }},
		{"a flipped bit in an earlier length", "log", func(data []byte) []byte { data[1] ^= 0x80; return data }},
		{"a flipped bit in the snapshot", "snapshot", func(data []byte) []byte { data[len(data)/2] ^= 1; return data }},
		{"a cut snapshot", "snapshot", func(data []byte) []byte { return data[:len(data)-1] }},
		{"an empty snapshot", "snapshot", func([]byte) []byte { return nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			fill(t, folder)
			path := filepath.Join(folder, test.file)
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, test.damage(data), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, _, err := wal.Open(folder, wal.OS()); !errors.Is(err, wal.ErrCorrupt) {
				t.Errorf("Open = %v, want ErrCorrupt", err)
			}
		})
	}
}

// TestNoWritesAfterDiskFailure checks that after a failed write or sync nothing more
// is acknowledged, even if the disk works again, and that the entries acknowledged
// before can still be read.
func TestNoWritesAfterDiskFailure(t *testing.T) {
	errNoSpace := errors.New("no space left")
	tests := []struct {
		name   string
		inject func(disk *wal.Disk)
	}{
		{"full", func(disk *wal.Disk) {
			disk.Write = func(file *os.File, data []byte) (int, error) {
				written, _ := file.Write(data[:len(data)/2])
				return written, errNoSpace
			}
		}},
		{"failing sync", func(disk *wal.Disk) { disk.Sync = func(*os.File) error { return errNoSpace } }},
		{"read-only", func(disk *wal.Disk) { disk.Write = func(*os.File, []byte) (int, error) { return 0, os.ErrPermission } }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			current := wal.OS()
			disk := wal.Disk{
				Write:  func(file *os.File, data []byte) (int, error) { return current.Write(file, data) },
				Sync:   func(file *os.File) error { return current.Sync(file) },
				Rename: func(from, to string) error { return current.Rename(from, to) },
			}
			log, _, err := wal.Open(folder, disk)
			if err != nil {
				t.Fatal(err)
			}
			first := quorum.DiskWrite{Entries: []quorum.Entry{{Index: 1, Term: 1, Data: []byte("kept")}}}
			if err := log.Save(first); err != nil {
				t.Fatal(err)
			}
			test.inject(&current)
			if err := log.Save(quorum.DiskWrite{Entries: []quorum.Entry{{Index: 2, Term: 1}}}); err == nil {
				t.Fatal("a failed write was acknowledged")
			}
			current = wal.OS()
			if err := log.Save(quorum.DiskWrite{Entries: []quorum.Entry{{Index: 2, Term: 1}}}); !errors.Is(err, wal.ErrFailed) {
				t.Errorf("Save after a failure = %v, want ErrFailed", err)
			}
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
			_, stored, err := wal.Open(folder, wal.OS())
			if err != nil || len(stored.Entries) == 0 || string(stored.Entries[0].Data) != "kept" {
				t.Errorf("stored = %+v, %v; the acknowledged entry is lost", stored, err)
			}
		})
	}
}

// FuzzDecode checks that no bytes on a disk make Decode panic, and that the decoded
// entries have consecutive indexes.
func FuzzDecode(f *testing.F) {
	folder := f.TempDir()
	log, _, err := wal.Open(folder, wal.OS())
	if err != nil {
		f.Fatal(err)
	}
	if err := log.Save(quorum.DiskWrite{HardState: &quorum.HardState{Term: 3}, Entries: []quorum.Entry{{Index: 1, Term: 1}}}); err != nil {
		f.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(folder, "log"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(append(slices.Clone(data), 1, 2, 3))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var stored quorum.Stored
		validBytes, err := wal.Decode(data, &stored)
		if err == nil && validBytes > len(data) {
			t.Errorf("valid size %d, of %d bytes", validBytes, len(data))
		}
		for position, entry := range stored.Entries {
			if entry.Index != id.Index(position+1) {
				t.Errorf("entry with index %d at position %d", entry.Index, position)
			}
		}
	})
}
