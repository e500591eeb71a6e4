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

// lines passes each log line on.
type lines chan []byte

func (lines lines) Write(line []byte) (int, error) {
	lines <- bytes.Clone(line)
	return len(line), nil
}

// await reads log lines until one says a step.
func (lines lines) await(step string) {
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

// A control host whose disk is full doesn't end, and doesn't vote: it begins
// again once the disk takes writes, on the same addresses.
func TestKeepOutlastsAFullDisk(t *testing.T) {
	var full atomic.Bool
	disk := wal.OS()
	disk.Write = func(file *os.File, data []byte) (int, error) {
		if full.Load() {
			return 0, syscall.ENOSPC
		}
		return file.Write(data)
	}
	log, address := make(lines, 1000), freeAddress(t)
	config := node.Config{
		PeerAddress: address, Seeds: func() ([]string, error) { return []string{address}, nil }, VotersWanted: 1, Disk: disk, Log: zerolog.New(log),
		Control: &node.Control{
			Address: freeAddress(t), DataFolder: t.TempDir(), Founder: true,
			Handler: func(*control.Control) http.Handler { return http.NotFoundHandler() },
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	full.Store(true)
	go func() { ended <- node.Keep(ctx, config, nil) }()
	log.await("disk_lost")
	full.Store(false)
	log.await("disk_regained")
	log.await("lease")
	stop()
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}
