// Package controlhost runs one control host in a process of its own, with an interface
// for the announcements of engines and for a declaration.
//
// # Usage
//
//	err := controlhost.Run(ctx, "settings.json", os.Stdin, os.Stdout) // until ctx or the input ends
package controlhost

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/connection/hostapi"
	"carobline.dev/caroblined/process/node"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/wal"
)

// Command is the argument that makes a program run a control host. The path of the
// settings follows it.
const Command = "control-host"

const (
	targetVoters       = 5
	engineStallTimeout = 4 * time.Second
	nodeLease          = 2600 * time.Millisecond
	gracePeriod        = 8 * time.Second
)

// Settings are what one control host is started with.
type Settings struct {
	// PeerAddress is reached by other nodes, ControlAddress by engines and operators.
	PeerAddress    string `json:"peer_address"`
	ControlAddress string `json:"control_address"`
	// Seeds are the peer addresses of the hosts that found the system.
	Seeds      []string `json:"seeds"`
	DataFolder string   `json:"data_folder"`
}

// Run runs the control host whose settings are in a file. It returns with an error, or once
// ctx or the input has ended: the parent process holds the input open as long as it lives.
func Run(ctx context.Context, settingsPath string, in io.Reader, logWriter io.Writer) error {
	data, err := os.ReadFile(settingsPath)
	if err != nil {
		return errors.Wrap(err, "read settings of a control host")
	}
	var settings Settings
	if err := json.Unmarshal(data, &settings); err != nil {
		return errors.Wrap(err, "decode settings of a control host")
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		// Whether the input ends or fails, the parent is gone. The goroutine waits for that
		// also after Run has returned.
		_, _ = io.Copy(io.Discard, in)
		stop()
	}()
	log := zerolog.New(logWriter).With().Timestamp().Logger()
	return node.Supervise(ctx, settings.nodeConfig(log), nil)
}

func (settings *Settings) nodeConfig(log zerolog.Logger) node.Config {
	return node.Config{
		PeerAddress: settings.PeerAddress, ReadSeeds: func() ([]string, error) { return settings.Seeds, nil },
		TargetVoters: targetVoters, EngineStallTimeout: engineStallTimeout, NodeLease: nodeLease, GracePeriod: gracePeriod,
		SendOrder: sendOrder, Disk: wal.OS(), Log: log,
		Control: &node.Control{
			Address: settings.ControlAddress, DataFolder: settings.DataFolder, Founder: slices.Contains(settings.Seeds, settings.PeerAddress),
			Handler: newHandler,
		},
	}
}

func sendOrder(ctx context.Context, client *http.Client, order action.Order) error {
	return hostapi.SendOrder(ctx, rest.NewClient(client, ""), order)
}
