package node_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/node"
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

func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

// TestSuperviseRestartsAfterFullDisk guards against a control host that exits for
// good when its disk is full: it must stop, so that it doesn't vote, and restart
// on the same addresses once the disk accepts writes.
func TestSuperviseRestartsAfterFullDisk(t *testing.T) {
	var full atomic.Bool
	disk := wal.OS()
	disk.Write = func(file *os.File, data []byte) (int, error) {
		if full.Load() {
			return 0, syscall.ENOSPC
		}
		return file.Write(data)
	}
	logged, address := make(logLines, 1000), freeAddress(t)
	config := node.Config{
		PeerAddress: address, ReadSeeds: func() ([]string, error) { return []string{address}, nil }, TargetVoters: 1, Disk: disk, Log: zerolog.New(logged),
		Control: &node.Control{
			Address: freeAddress(t), DataFolder: t.TempDir(), Founder: true,
			Handler: func(*control.Control) http.Handler { return http.NotFoundHandler() },
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	supervised := make(chan error)
	full.Store(true)
	go func() { supervised <- node.Supervise(ctx, config, nil) }()
	logged.awaitStep("disk_lost")
	full.Store(false)
	logged.awaitStep("disk_regained")
	logged.awaitStep("lease")
	stop()
	if err := <-supervised; err != nil {
		t.Errorf("Supervise returned %v", err)
	}
}
