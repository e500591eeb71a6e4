package node_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/node"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/loopback"
	"carobline.dev/core/process/wal"
)

// logLines is a log writer that sends each line to a channel.
type logLines chan []byte

func (lines logLines) Write(line []byte) (int, error) {
	lines <- bytes.Clone(line)
	return len(line), nil
}

// awaitStep reads log lines until one has the given step.
func (lines logLines) awaitStep(step string) {
	for line := range lines {
		if bytes.Contains(line, []byte(`"step":"`+step+`"`)) {
			return
		}
	}
}

// fullDisk is a disk that refuses some of the operations while it is full.
type fullDisk struct {
	full  atomic.Bool
	calls wal.Disk
}

// newFullDisk returns a disk that refuses what the given function changes.
func newFullDisk(refuse func(calls *wal.Disk)) *fullDisk {
	disk := &fullDisk{calls: wal.OS()}
	refuse(&disk.calls)
	return disk
}

func (disk *fullDisk) present() wal.Disk {
	if disk.full.Load() {
		return disk.calls
	}
	return wal.OS()
}

func (disk *fullDisk) disk() wal.Disk {
	return wal.Disk{
		Write:  func(file *os.File, data []byte) (int, error) { return disk.present().Write(file, data) },
		Sync:   func(file *os.File) error { return disk.present().Sync(file) },
		Rename: func(from, to string) error { return disk.present().Rename(from, to) },
	}
}

// The errors of a full disk, as package os returns them.
func refusedWrite(file *os.File, data []byte) (int, error) {
	count, _ := file.Write(data[:len(data)/2])
	return count, &os.PathError{Op: "write", Path: file.Name(), Err: syscall.ENOSPC}
}

func refusedSync(file *os.File) error {
	return &os.PathError{Op: "sync", Path: file.Name(), Err: syscall.EIO}
}

func refusedRename(from, to string) error {
	return &os.LinkError{Op: "rename", Old: from, New: to, Err: syscall.ENOSPC}
}

// TestSuperviseRestartsAfterFullDisk guards against a control host that exits for
// good when its disk is full: it must stop, so that it doesn't vote, and restart
// on the same addresses once the disk accepts writes.
func TestSuperviseRestartsAfterFullDisk(t *testing.T) {
	for _, test := range []struct {
		name   string
		refuse func(calls *wal.Disk)
		// running is set where the disk is full from when the node listens, and not from
		// its start.
		running bool
	}{
		{"writes at the start", func(calls *wal.Disk) { calls.Write = refusedWrite }, false},
		{"writes", func(calls *wal.Disk) { calls.Write = refusedWrite }, true},
		{"syncs at the start", func(calls *wal.Disk) { calls.Sync = refusedSync }, false},
		{"syncs", func(calls *wal.Disk) { calls.Sync = refusedSync }, true},
		{"renames at the start", func(calls *wal.Disk) { calls.Rename = refusedRename }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			disk := newFullDisk(test.refuse)
			logged, addresses := make(logLines, 1000), loopback.ClaimFor(t)
			address := addresses.Address(0, 0)
			config := node.Config{
				PeerAddress: address, ReadSeeds: func() ([]string, error) { return []string{address}, nil }, TargetVoters: 1, Disk: disk.disk(), Log: zerolog.New(logged),
				Control: &node.Control{
					Address: addresses.Address(0, 1), DataFolder: t.TempDir(), Founder: true,
					Handler: func(*control.Control, rest.Intake) http.Handler { return http.NotFoundHandler() },
				},
			}
			ctx, stop := context.WithCancel(context.Background())
			supervised := make(chan error, 1)
			disk.full.Store(!test.running)
			go func() {
				supervised <- node.Supervise(ctx, config, nil)
				close(logged)
			}()
			if test.running {
				logged.awaitStep("listen")
				disk.full.Store(true)
			}
			logged.awaitStep("disk_lost")
			disk.full.Store(false)
			logged.awaitStep("disk_regained")
			logged.awaitStep("lease")
			stop()
			if err := <-supervised; err != nil {
				t.Errorf("Supervise returned %v", err)
			}
		})
	}
}

// Guards against a control host that ends by itself since its settings file can't be read
// just when its disk has room again.
func TestSuperviseRestartsWithTheKnownSeeds(t *testing.T) {
	disk := newFullDisk(func(calls *wal.Disk) { calls.Write = refusedWrite })
	logged, addresses := make(logLines, 1000), loopback.ClaimFor(t)
	address := addresses.Address(0, 0)
	var unreadable atomic.Bool
	config := node.Config{
		PeerAddress: address, TargetVoters: 1, Disk: disk.disk(), Log: zerolog.New(logged),
		ReadSeeds: func() ([]string, error) {
			if unreadable.Load() {
				return nil, errors.New("the settings file is cut off")
			}
			return []string{address}, nil
		},
		Control: &node.Control{
			Address: addresses.Address(0, 1), DataFolder: t.TempDir(), Founder: true,
			Handler: func(*control.Control, rest.Intake) http.Handler { return http.NotFoundHandler() },
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	supervised := make(chan error, 1)
	go func() {
		supervised <- node.Supervise(ctx, config, nil)
		close(logged)
	}()
	logged.awaitStep("listen")
	disk.full.Store(true)
	logged.awaitStep("disk_lost")
	unreadable.Store(true)
	disk.full.Store(false)
	logged.awaitStep("disk_regained")
	logged.awaitStep("lease")
	stop()
	if err := <-supervised; err != nil {
		t.Errorf("Supervise returned %v", err)
	}
}
