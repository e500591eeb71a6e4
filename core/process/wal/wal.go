// Package wal is a voter's write-ahead log: a snapshot file and a log file in one
// data folder.
//
// Each frame is a length, a CRC-32C checksum and a JSON body. One Save is one frame
// and one fsync, so a torn write can only be the last frame. An invalid frame with a
// valid one after it is damage, not a torn write: Open returns ErrCorrupt, because
// cutting the log there would lose acknowledged entries.
//
// # Usage
//
//	log, stored, err := wal.Open(folder, wal.OS())
//	err = log.Save(actions.DiskWrite) // returns once the bytes are synced
//	err = log.Close()
package wal

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/step"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	headerBytes  = 8
	// maxFrameBytes bounds the length field of a frame; a larger one is invalid.
	maxFrameBytes = 1 << 30
	filePerm      = 0o600
	folderPerm    = 0o700
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt is returned by Open and Decode when bytes that were acknowledged can't
// be read any more.
var ErrCorrupt = errors.New("stored log is corrupt")

// ErrFailed is returned by Save after an earlier Save failed.
var ErrFailed = errors.New("log accepts no writes after an earlier write or sync failed")

// Disk holds the file operations that fail on a bad or full disk. Tests replace them
// to inject faults.
type Disk struct {
	Write  func(file *os.File, data []byte) (int, error)
	Sync   func(file *os.File) error
	Rename func(from, to string) error
}

// OS returns the Disk of the operating system.
func OS() Disk {
	return Disk{Write: (*os.File).Write, Sync: (*os.File).Sync, Rename: os.Rename}
}

// frame is the body of one frame of the log file, written by one Save.
type frame struct {
	HardState *quorum.HardState `json:"hard_state,omitempty"`
	Entries   []quorum.Entry    `json:"entries,omitempty"`
}

// WAL is an open log. One goroutine uses it at a time.
type WAL struct {
	folder    string
	disk      Disk
	file      *os.File
	hardState quorum.HardState
	// saveErr is the error of the first Save that failed.
	saveErr error
}

// Open reads the snapshot and the log in a folder, which it creates when it doesn't
// exist, and truncates a torn last frame. It returns ErrCorrupt for a damaged
// snapshot and for damage before the last frame of the log.
func Open(folder string, disk Disk) (*WAL, quorum.Stored, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, quorum.Stored{}, errors.Wrap(err, "make data folder")
	}
	stored, err := readSnapshot(filepath.Join(folder, snapshotName))
	if err != nil {
		return nil, quorum.Stored{}, err
	}
	path := filepath.Join(folder, logName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, quorum.Stored{}, errors.Wrap(err, "read log")
	}
	validBytes, err := Decode(data, &stored)
	if err != nil {
		return nil, quorum.Stored{}, errors.Wrapf(err, "decode log %s", path)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, quorum.Stored{}, errors.Wrap(err, "open log")
	}
	wal := &WAL{folder: folder, disk: disk, file: file, hardState: stored.HardState}
	if err := wal.truncateTo(int64(validBytes)); err != nil {
		_ = file.Close()
		return nil, quorum.Stored{}, err
	}
	return wal, stored, nil
}

// truncateTo cuts the log file to its valid size, seeks to the new end, and syncs the
// file and its folder.
func (wal *WAL) truncateTo(size int64) error {
	if err := wal.file.Truncate(size); err != nil {
		return errors.Wrap(err, "truncate torn frame at the end of the log")
	}
	if _, err := wal.file.Seek(size, 0); err != nil {
		return errors.Wrap(err, "seek to the end of the log")
	}
	if err := wal.disk.Sync(wal.file); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return syncFolder(wal.folder, wal.disk)
}

// Save writes to the disk and returns once the bytes are synced. After an error every
// further Save returns ErrFailed, since it isn't known which bytes reached the disk.
func (wal *WAL) Save(write quorum.DiskWrite) error {
	if wal.saveErr != nil {
		return errors.Wrap(ErrFailed, wal.saveErr.Error())
	}
	if write.Empty() {
		return nil
	}
	err := wal.writeAndSync(write)
	if err != nil {
		wal.saveErr = err
	}
	return err
}

func (wal *WAL) writeAndSync(write quorum.DiskWrite) error {
	if write.HardState != nil {
		wal.hardState = *write.HardState
	}
	if write.Snapshot != nil {
		return wal.saveSnapshot(write)
	}
	data, err := encode(frame{HardState: write.HardState, Entries: write.Entries})
	if err != nil {
		return err
	}
	if _, err := wal.disk.Write(wal.file, data); err != nil {
		return errors.Wrap(err, "write log")
	}
	return step.Wrap(wal.disk.Sync(wal.file), "sync log")
}

// saveSnapshot replaces the snapshot file first and the log file second. After a crash
// between the two the old log's entries overlap the snapshot, which Decode allows.
func (wal *WAL) saveSnapshot(write quorum.DiskWrite) error {
	body, err := encode(write.Snapshot)
	if err != nil {
		return err
	}
	if err := Replace(wal.disk, wal.folder, snapshotName, body); err != nil {
		return err
	}
	hardState := wal.hardState
	body, err = encode(frame{HardState: &hardState, Entries: write.Entries})
	if err != nil {
		return err
	}
	if err := Replace(wal.disk, wal.folder, logName, body); err != nil {
		return err
	}
	if err := wal.file.Close(); err != nil {
		return errors.Wrap(err, "close old log")
	}
	file, err := os.OpenFile(filepath.Join(wal.folder, logName), os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		return errors.Wrap(err, "open new log")
	}
	wal.file = file
	return nil
}

// Replace atomically replaces a file in a folder: after a crash the folder holds
// either the old file or the new one. It returns once the new file's content and its
// name are synced.
func Replace(disk Disk, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return errors.Wrap(err, "create "+name)
	}
	_, err = disk.Write(file, data)
	if err == nil {
		err = disk.Sync(file)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "write "+name)
	}
	if err := disk.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "rename "+name)
	}
	return syncFolder(folder, disk)
}

// Close closes the log file. All that Save acknowledged is already synced.
func (wal *WAL) Close() error {
	return step.Wrap(wal.file.Close(), "close log")
}

func syncFolder(path string, disk Disk) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	err = disk.Sync(folder)
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return step.Wrap(err, "sync data folder")
}

// encode returns one frame with body as JSON.
func encode(body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	framed := make([]byte, headerBytes, headerBytes+len(data))
	binary.LittleEndian.PutUint32(framed, uint32(len(data))) //nolint:gosec // bounded by maxFrameBytes on reading
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(data, crcTable))
	return append(framed, data...), nil
}

// readFrame returns the body and the size in bytes of the frame at the start of data.
// It is false unless the frame is complete and its checksum matches.
func readFrame(data []byte) (body []byte, size int, ok bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxFrameBytes || int(length) > len(data)-headerBytes {
		return nil, 0, false
	}
	body = data[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(body, crcTable) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return body, headerBytes + int(length), true
}

func readSnapshot(path string) (quorum.Stored, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return quorum.Stored{}, nil
	}
	if err != nil {
		return quorum.Stored{}, errors.Wrap(err, "read snapshot")
	}
	body, size, ok := readFrame(data)
	if !ok || size != len(data) {
		return quorum.Stored{}, errors.Wrapf(ErrCorrupt, "snapshot %s", path)
	}
	snapshot := &quorum.Snapshot{}
	if err := json.Unmarshal(body, snapshot); err != nil {
		return quorum.Stored{}, errors.Wrapf(ErrCorrupt, "snapshot %s: %v", path, err)
	}
	return quorum.Stored{Snapshot: snapshot}, nil
}

// Decode reads the frames of a log file into stored, and returns the size in bytes of
// the valid frames before a torn last one. It returns ErrCorrupt for an invalid frame
// that a valid one follows, a body that can't be decoded, and a gap in the indexes.
func Decode(data []byte, stored *quorum.Stored) (int, error) {
	validBytes := 0
	for validBytes < len(data) {
		body, size, ok := readFrame(data[validBytes:])
		if !ok {
			if validFrameFollows(data[validBytes+1:]) {
				return 0, errors.Wrapf(ErrCorrupt, "frame at byte %d has a bad length or checksum, and a valid frame follows", validBytes)
			}
			return validBytes, nil
		}
		if err := addFrame(body, stored); err != nil {
			return 0, err
		}
		validBytes += size
	}
	return validBytes, nil
}

// validFrameFollows reports whether any valid frame is found in the bytes after an
// invalid one. The body of each frame is a JSON object, so only offsets at which the
// body would begin with a brace are tried.
func validFrameFollows(data []byte) bool {
	for offset := headerBytes; offset < len(data); offset++ {
		if data[offset] != '{' {
			continue
		}
		if _, _, ok := readFrame(data[offset-headerBytes:]); ok {
			return true
		}
	}
	return false
}

// addFrame applies the hard state and the entries of one frame to stored.
func addFrame(body []byte, stored *quorum.Stored) error {
	var decoded frame
	if err := json.Unmarshal(body, &decoded); err != nil {
		return errors.Wrapf(ErrCorrupt, "decode frame body: %v", err)
	}
	if decoded.HardState != nil {
		stored.HardState = *decoded.HardState
	}
	for _, entry := range decoded.Entries {
		if err := addEntry(entry, stored); err != nil {
			return err
		}
	}
	return nil
}

// addEntry appends an entry to stored in place of all entries from its index on.
func addEntry(entry quorum.Entry, stored *quorum.Stored) error {
	first := id.Index(1)
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	if entry.Index < first {
		// The snapshot covers this entry, but when it was written it replaced all
		// entries from its index on.
		stored.Entries = stored.Entries[:0]
		return nil
	}
	position := entry.Index - first
	if position > id.Index(len(stored.Entries)) {
		return errors.Wrapf(ErrCorrupt, "entry %d follows a gap in the indexes", entry.Index)
	}
	stored.Entries = append(stored.Entries[:position], entry)
	return nil
}
