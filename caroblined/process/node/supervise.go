package node

import (
	"context"
	"crypto/rand"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/wal"
)

const (
	// diskProbeInterval is the interval between probe writes after a failed write.
	diskProbeInterval = 500 * time.Millisecond
	// diskProbeBytes is the size of a probe write.
	diskProbeBytes = 64 << 10
	diskProbeFile  = "trial"
)

// errDiskWrite is wrapped by the errors after which Supervise restarts the node.
var errDiskWrite = errors.New("the disk refuses writes")

// diskWriteError returns the error of a node that stopped after a failed disk
// write. closeErr is the error of closing the node, if any.
func diskWriteError(reason string, closeErr error) error {
	if closeErr != nil {
		reason += "; " + closeErr.Error()
	}
	return errors.Wrap(errDiskWrite, reason)
}

// Supervise runs a node until ctx ends. A control host must not cast votes that
// it can't store, so when a disk write fails the node stops, and restarts from
// the stored state as soon as the disk accepts writes. Any other error ends
// Supervise and is returned.
func Supervise(ctx context.Context, config Config, reloads <-chan os.Signal) error {
	config.ReadSeeds = keepSeeds(config)
	config.process = rand.Text()
	for {
		err := runOnce(ctx, config, reloads)
		if !errors.Is(err, errDiskWrite) || ctx.Err() != nil {
			return err
		}
		config.Log.Error().Err(err).Str("step", "disk_lost").Msg("a disk write failed; the node is stopped until its disk accepts writes")
		if !waitForDisk(ctx, config) {
			return nil
		}
		config.Log.Info().Str("step", "disk_regained").Msg("the disk accepts writes again; restarting the node")
	}
}

// keepSeeds returns a function that reads the seeds, and returns the last ones again if
// they can't be read any more: a restart needs some.
func keepSeeds(config Config) func() ([]string, error) {
	var known []string
	return func() ([]string, error) {
		seeds, err := config.ReadSeeds()
		if err != nil && known != nil {
			config.Log.Warn().Err(err).Str("step", "read_seeds").Msg("reading the seeds failed; the known seeds stay in use")
			return known, nil
		}
		known = seeds
		return seeds, err
	}
}

// runOnce runs a node until ctx ends or the node fails. A file error in the data
// folder while the node starts counts as a failed disk write.
func runOnce(ctx context.Context, config Config, reloads <-chan os.Signal) error {
	node, err := New(config)
	if config.Control != nil && isFileError(err, config.Control.DataFolder) {
		return errors.Wrap(errDiskWrite, err.Error())
	}
	if err != nil {
		return err
	}
	return node.Run(ctx, reloads)
}

// isFileError reports whether an error is that of a call on a file in a folder.
func isFileError(err error, folder string) bool {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return strings.HasPrefix(pathErr.Path, folder)
	}
	var renameErr *os.LinkError
	return errors.As(err, &renameErr) && strings.HasPrefix(renameErr.New, folder)
}

// waitForDisk waits until the data folder accepts writes. It returns false if ctx
// ends first.
func waitForDisk(ctx context.Context, config Config) bool {
	ticker := time.NewTicker(diskProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if diskAcceptsWrites(config) {
				return true
			}
		}
	}
}

// diskAcceptsWrites probes the disk: it writes, syncs and removes a file. It
// drops the error, since the error of the first failed write has been logged.
func diskAcceptsWrites(config Config) bool {
	folder := config.Control.DataFolder
	if wal.Replace(config.Disk, folder, diskProbeFile, make([]byte, diskProbeBytes)) != nil {
		return false
	}
	return os.Remove(filepath.Join(folder, diskProbeFile)) == nil
}
