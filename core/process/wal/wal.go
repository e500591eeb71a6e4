// Package wal keeps a voter's log on disk: a snapshot file and a log file under
// one data folder.
//
// Each frame is a length, a CRC-32C and a JSON body; one Save is one frame and
// one sync, so a torn write can only be the last frame. A bad frame with a good
// one after it is damage, not a torn write: Open refuses it, because the log
// would otherwise lose what it has acknowledged.
//
// # Usage
//
//	log, stored, err := wal.Open(folder, wal.OS())
//	err = log.Save(actions.Save) // returns once the bytes are synced
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
	// maxFrameBytes bounds what a length field may claim.
	maxFrameBytes = 1 << 30
	filePerm      = 0o600
	folderPerm    = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports stored bytes that were acknowledged once and can't be read.
var ErrCorrupt = errors.New("stored log is corrupt")

// ErrFailed reports a log that takes no more writes since one failed.
var ErrFailed = errors.New("log has failed and takes no more writes")

// Disk holds the calls that a failing disk breaks; tests replace them.
type Disk struct {
	Write func(file *os.File, data []byte) (int, error)
	Sync  func(file *os.File) error
}

// OS is the disk of the machine.
func OS() Disk {
	return Disk{Write: (*os.File).Write, Sync: (*os.File).Sync}
}

// frame is one synced unit of the log file.
type frame struct {
	HardState *quorum.HardState `json:"hard_state,omitempty"`
	Entries   []quorum.Entry    `json:"entries,omitempty"`
}

// WAL is an open log. One goroutine uses it at a time.
type WAL struct {
	folder string
	disk   Disk
	file   *os.File
	hard   quorum.HardState
	failed error
}

// Open reads what is stored in a folder, making it when it doesn't exist, and
// cuts off a torn last frame.
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
	good, err := Decode(data, &stored)
	if err != nil {
		return nil, quorum.Stored{}, errors.Wrapf(err, "log %s", path)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, quorum.Stored{}, errors.Wrap(err, "open log")
	}
	wal := &WAL{folder: folder, disk: disk, file: file, hard: stored.HardState}
	if err := wal.prepare(int64(good)); err != nil {
		_ = file.Close()
		return nil, quorum.Stored{}, err
	}
	return wal, stored, nil
}

// prepare cuts the file to its good part and makes that lasting.
func (wal *WAL) prepare(size int64) error {
	if err := wal.file.Truncate(size); err != nil {
		return errors.Wrap(err, "cut torn frame")
	}
	if _, err := wal.file.Seek(size, 0); err != nil {
		return errors.Wrap(err, "seek log")
	}
	if err := wal.disk.Sync(wal.file); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return syncFolder(wal.folder, wal.disk)
}

// Save writes and syncs. After an error the log takes no more writes, since
// what reached the disk is not known.
func (wal *WAL) Save(save quorum.DiskWrite) error {
	if wal.failed != nil {
		return errors.Wrap(ErrFailed, wal.failed.Error())
	}
	if save.Empty() {
		return nil
	}
	err := wal.save(save)
	if err != nil {
		wal.failed = err
	}
	return err
}

func (wal *WAL) save(save quorum.DiskWrite) error {
	if save.HardState != nil {
		wal.hard = *save.HardState
	}
	if save.Snapshot != nil {
		return wal.saveSnapshot(save)
	}
	data, err := encode(frame{HardState: save.HardState, Entries: save.Entries})
	if err != nil {
		return err
	}
	if _, err := wal.disk.Write(wal.file, data); err != nil {
		return errors.Wrap(err, "write log")
	}
	return step.Wrap(wal.disk.Sync(wal.file), "sync log")
}

// saveSnapshot replaces the snapshot first and the log second. Between the two
// the old log's entries overlap the snapshot, which Decode allows.
func (wal *WAL) saveSnapshot(save quorum.DiskWrite) error {
	body, err := encode(save.Snapshot)
	if err != nil {
		return err
	}
	if err := Replace(wal.disk, wal.folder, snapshotName, body); err != nil {
		return err
	}
	hard := wal.hard
	body, err = encode(frame{HardState: &hard, Entries: save.Entries})
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

// Replace swaps a file of a folder for a new one, so that a crash leaves one of
// the two. It returns once the bytes and the name are synced.
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
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "rename "+name)
	}
	return syncFolder(folder, disk)
}

// Close closes the file; all that Save acknowledged is already synced.
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

func encode(body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	framed := make([]byte, headerBytes, headerBytes+len(data))
	binary.LittleEndian.PutUint32(framed, uint32(len(data))) //nolint:gosec // bounded by maxFrameBytes on reading
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(data, castagnoli))
	return append(framed, data...), nil
}

// next reads one frame's body; ok is false for anything but a whole good frame.
func next(data []byte) (body []byte, size int, ok bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxFrameBytes || int(length) > len(data)-headerBytes {
		return nil, 0, false
	}
	body = data[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
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
	body, size, ok := next(data)
	if !ok || size != len(data) {
		return quorum.Stored{}, errors.Wrapf(ErrCorrupt, "snapshot %s", path)
	}
	snapshot := &quorum.Snapshot{}
	if err := json.Unmarshal(body, snapshot); err != nil {
		return quorum.Stored{}, errors.Wrapf(ErrCorrupt, "snapshot %s: %v", path, err)
	}
	return quorum.Stored{Snapshot: snapshot}, nil
}

// Decode reads the frames of a log file into stored and returns the length of
// its good part. It returns ErrCorrupt for damage before the last frame.
func Decode(data []byte, stored *quorum.Stored) (int, error) {
	good := 0
	for good < len(data) {
		body, size, ok := next(data[good:])
		if !ok {
			if goodFrameAfter(data[good+1:]) {
				return 0, errors.Wrapf(ErrCorrupt, "bad frame at byte %d", good)
			}
			return good, nil
		}
		if err := addFrame(body, stored); err != nil {
			return 0, err
		}
		good += size
	}
	return good, nil
}

// goodFrameAfter looks for any whole frame in what follows a bad one. The body
// of each frame is a JSON object, so only places before a brace are tried.
func goodFrameAfter(data []byte) bool {
	for offset := headerBytes; offset < len(data); offset++ {
		if data[offset] != '{' {
			continue
		}
		if _, _, ok := next(data[offset-headerBytes:]); ok {
			return true
		}
	}
	return false
}

func addFrame(body []byte, stored *quorum.Stored) error {
	var content frame
	if err := json.Unmarshal(body, &content); err != nil {
		return errors.Wrapf(ErrCorrupt, "frame body: %v", err)
	}
	if content.HardState != nil {
		stored.HardState = *content.HardState
	}
	for _, entry := range content.Entries {
		if err := addEntry(entry, stored); err != nil {
			return err
		}
	}
	return nil
}

func addEntry(entry quorum.Entry, stored *quorum.Stored) error {
	first := id.Index(1)
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	if entry.Index < first {
		// It replaced all of a higher index when it was written, although the
		// snapshot now covers it.
		stored.Entries = stored.Entries[:0]
		return nil
	}
	position := entry.Index - first
	if position > id.Index(len(stored.Entries)) {
		return errors.Wrapf(ErrCorrupt, "entry %d after a gap", entry.Index)
	}
	stored.Entries = append(stored.Entries[:position], entry)
	return nil
}
