package node

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/wal"
)

const (
	// diskEvery is how often a disk that refused a write is tried again.
	diskEvery = 500 * time.Millisecond
	// trialBytes is how much is written to try a disk.
	trialBytes = 64 << 10
	trialName  = "trial"
)

// errDisk reports a disk that refuses writes.
var errDisk = errors.New("the disk refuses writes")

// diskLost is the end of a node whose disk refused a write.
func diskLost(reason string, closing error) error {
	if closing != nil {
		reason += "; " + closing.Error()
	}
	return errors.Wrap(errDisk, reason)
}

// Keep runs a node until ctx ends. A control host whose disk refuses a write
// must not vote on what it can't keep: it stops, and begins again from what the
// disk holds as soon as the disk takes writes. Other failures end Keep.
func Keep(ctx context.Context, config Config, reloads <-chan os.Signal) error {
	for {
		err := run(ctx, config, reloads)
		if !errors.Is(err, errDisk) || ctx.Err() != nil {
			return err
		}
		config.Log.Error().Err(err).Str("step", "disk_lost").Msg("the node stops until its disk takes writes")
		if !awaitDisk(ctx, config) {
			return nil
		}
		config.Log.Info().Str("step", "disk_regained").Msg("the node begins again")
	}
}

// run runs a node once.
func run(ctx context.Context, config Config, reloads <-chan os.Signal) error {
	node, err := New(config)
	var refused *fs.PathError
	if config.Control != nil && errors.As(err, &refused) && strings.HasPrefix(refused.Path, config.Control.DataFolder) {
		return errors.Wrap(errDisk, err.Error())
	}
	if err != nil {
		return err
	}
	return node.Run(ctx, reloads)
}

// awaitDisk waits until the data folder takes writes; it is false when ctx ends
// before that.
func awaitDisk(ctx context.Context, config Config) bool {
	ticker := time.NewTicker(diskEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if takesWrites(config) {
				return true
			}
		}
	}
}

// takesWrites writes a file, syncs it and removes it again. Why it fails is
// known from the write that was refused first.
func takesWrites(config Config) bool {
	folder := config.Control.DataFolder
	if wal.Replace(config.Disk, folder, trialName, make([]byte, trialBytes)) != nil {
		return false
	}
	return os.Remove(filepath.Join(folder, trialName)) == nil
}
