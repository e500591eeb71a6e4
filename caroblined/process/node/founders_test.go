package node_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/node"
	"carobline.dev/core/process/wal"
)

// leaseWriter is a log writer that reports when a node acquires its lease.
type leaseWriter chan struct{}

func (writer leaseWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"step":"lease"`)) && bytes.Contains(line, []byte(`"held":true`)) {
		writer <- struct{}{}
	}
	return len(line), nil
}

// Guards against control hosts that find no majority after a restart, where there are no
// more of them than founders: only the first start is told who the founders are.
func TestFoundersElectALeaderAfterARestart(t *testing.T) {
	const hosts, patience = 3, 15 * time.Second
	var addresses, folders []string
	for range hosts {
		addresses, folders = append(addresses, freeAddress(t)), append(folders, t.TempDir())
	}
	for _, first := range []bool{true, false} {
		leases := make(leaseWriter, 100)
		ctx, stop := context.WithCancel(context.Background())
		var ended sync.WaitGroup
		for index := range hosts {
			config := node.Config{
				PeerAddress: addresses[index], ReadSeeds: func() ([]string, error) { return addresses, nil }, TargetVoters: hosts, Disk: wal.OS(), Log: zerolog.New(leases),
				Control: &node.Control{
					Address: freeAddress(t), DataFolder: folders[index], Founder: first,
					Handler: func(*control.Control) http.Handler { return http.NotFoundHandler() },
				},
			}
			ended.Go(func() {
				if err := node.Supervise(ctx, config, nil); err != nil {
					t.Errorf("Supervise returned %v", err)
				}
			})
		}
		deadline := time.After(patience)
		for held := 0; held < hosts; held++ {
			select {
			case <-leases:
			case <-deadline:
				t.Errorf("%d of %d control hosts hold a lease within %v, first start: %v", held, hosts, patience, first)
				held = hosts
			}
		}
		stop()
		ended.Wait()
	}
}
