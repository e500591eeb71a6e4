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

// naive is the plain meaning of Save.
func naive(stored *quorum.Stored, save quorum.DiskWrite) {
	if save.HardState != nil {
		stored.HardState = *save.HardState
	}
	first := id.Index(1)
	if save.Snapshot != nil {
		stored.Snapshot, stored.Entries = save.Snapshot, nil
	}
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	for _, entry := range save.Entries {
		stored.Entries = append(slices.Clone(stored.Entries[:entry.Index-first]), entry)
	}
}

// randomSave is a save that may follow what is stored.
func randomSave(random *rand.Rand, stored quorum.Stored) quorum.DiskWrite {
	first := id.Index(1)
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	var save quorum.DiskWrite
	if random.IntN(3) == 0 {
		save.HardState = &quorum.HardState{Term: id.Term(random.IntN(9)), Vote: "a"}
	}
	if length := len(stored.Entries); length > 3 && random.IntN(6) == 0 {
		cut := random.IntN(length)
		save.Snapshot = &quorum.Snapshot{Index: first + id.Index(cut), Term: 1, Data: []byte(fmt.Sprint(random.Uint64()))}
		save.Entries = slices.Clone(stored.Entries[cut+1:])
		return save
	}
	next := first + id.Index(random.IntN(len(stored.Entries)+1))
	for range random.IntN(4) {
		save.Entries = append(save.Entries, quorum.Entry{Index: next, Term: 2, Data: []byte(fmt.Sprint(random.Uint64()))})
		next++
	}
	return save
}

// TestSavesReadBackLikeNaive compares the disk with the plain meaning of each
// save, over restarts and with torn writes after the last sync.
func TestSavesReadBackLikeNaive(t *testing.T) {
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
				save := randomSave(random, want)
				if err := log.Save(save); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				naive(&want, save)
			}
			if err := log.Close(); err != nil {
				t.Fatal(err)
			}
			tear(t, random, folder)
		}
	}
}

// tear adds the beginning of a frame that was never synced.
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

func fill(t *testing.T, folder string) {
	t.Helper()
	log, _, err := wal.Open(folder, wal.OS())
	if err != nil {
		t.Fatal(err)
	}
	for index := range id.Index(5) {
		save := quorum.DiskWrite{HardState: &quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: index + 1, Term: 1, Data: []byte("data")}}}
		if index == 4 {
			save = quorum.DiskWrite{Snapshot: &quorum.Snapshot{Index: 2, Term: 1, Data: []byte("state")}, Entries: []quorum.Entry{{Index: 3, Term: 1}, {Index: 4, Term: 1}}}
		}
		if err := log.Save(save); err != nil {
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

// TestDamageIsRefused is a table of damage that must not be taken for a torn
// write.
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

// TestFailedDiskTakesNoMore is a table of failing disks. After a failure
// nothing more is acknowledged, and what was acknowledged is still there.
func TestFailedDiskTakesNoMore(t *testing.T) {
	full := errors.New("no space left")
	tests := []struct {
		name  string
		spoil func(disk *wal.Disk)
	}{
		{"full", func(disk *wal.Disk) {
			disk.Write = func(file *os.File, data []byte) (int, error) {
				written, _ := file.Write(data[:len(data)/2])
				return written, full
			}
		}},
		{"failing sync", func(disk *wal.Disk) { disk.Sync = func(*os.File) error { return full } }},
		{"read-only", func(disk *wal.Disk) { disk.Write = func(*os.File, []byte) (int, error) { return 0, os.ErrPermission } }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			broken := wal.OS()
			disk := wal.Disk{
				Write: func(file *os.File, data []byte) (int, error) { return broken.Write(file, data) },
				Sync:  func(file *os.File) error { return broken.Sync(file) },
			}
			log, _, err := wal.Open(folder, disk)
			if err != nil {
				t.Fatal(err)
			}
			first := quorum.DiskWrite{Entries: []quorum.Entry{{Index: 1, Term: 1, Data: []byte("kept")}}}
			if err := log.Save(first); err != nil {
				t.Fatal(err)
			}
			test.spoil(&broken)
			if err := log.Save(quorum.DiskWrite{Entries: []quorum.Entry{{Index: 2, Term: 1}}}); err == nil {
				t.Fatal("a failed write was acknowledged")
			}
			broken = wal.OS()
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

// FuzzDecode makes sure that no bytes on a disk crash a start.
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
		good, err := wal.Decode(data, &stored)
		if err == nil && good > len(data) {
			t.Errorf("good part of %d bytes in %d", good, len(data))
		}
		for position, entry := range stored.Entries {
			if entry.Index != id.Index(position+1) {
				t.Errorf("entry %d stands at %d", entry.Index, position)
			}
		}
	})
}
