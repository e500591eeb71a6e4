package controlload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/loopback"
	"carobline.dev/core/step"
	"carobline.dev/measure/process/child"
	"carobline.dev/measure/process/controlhost"
)

// environment limits a control host to one processor, and sets the garbage collector as
// it is on a host with 280 MB.
var environment = []string{"GOMAXPROCS=1", "GOGC=400", "GOMEMLIMIT=168MiB"}

const (
	// seedCount is how many of the control hosts found the system; the others join.
	seedCount        = 3
	settingsFileMode = 0o600
)

// host is one control host and its process, nil while it doesn't run.
type host struct {
	settings controlhost.Settings
	// path is the settings file, logPath the process's log.
	path, logPath string
	command       []string
	process       *child.Process
	// spent is the processor time of the process up to measuredAt.
	spent      time.Duration
	measuredAt time.Time
}

// newHosts chooses the addresses of count control hosts and writes their settings into a
// folder.
func newHosts(count int, command []string, folder string, addresses *loopback.Range) ([]*host, error) {
	hosts := make([]*host, count)
	var seeds []string
	for number := range hosts {
		peerAddress, controlAddress := addresses.Address(number, 0), addresses.Address(number, 1)
		if number < seedCount {
			seeds = append(seeds, peerAddress)
		}
		name := filepath.Join(folder, fmt.Sprintf("control-%d", number))
		hosts[number] = &host{
			path: name + ".json", logPath: name + ".log", command: command,
			settings: controlhost.Settings{PeerAddress: peerAddress, ControlAddress: controlAddress, DataFolder: name},
		}
	}
	for _, host := range hosts {
		host.settings.Seeds = seeds
		if err := host.writeSettings(); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

func (host *host) writeSettings() error {
	data, err := json.Marshal(host.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings of a control host")
	}
	return step.Wrap(os.WriteFile(host.path, data, settingsFileMode), "write settings of a control host")
}

// start starts the host's process.
func (host *host) start(now time.Time) error {
	command := append(append([]string{}, host.command...), host.path)
	process, err := child.Start(child.Config{Command: command, Environment: environment, LogPath: host.logPath})
	host.process, host.spent, host.measuredAt = process, 0, now
	return err
}

// kill kills the host's process and waits for its end.
func (host *host) kill() {
	if host.process != nil {
		host.process.Kill()
		host.process = nil
	}
}

// measure returns what the process has spent since the last call. It fails if the process
// has ended by itself.
func (host *host) measure(now time.Time) (Host, error) {
	if host.process == nil {
		return Host{}, nil
	}
	if err := host.process.Err(); err != nil {
		return Host{}, errors.Wrap(err, host.lastLogLine())
	}
	spent, err := host.process.ProcessorTime()
	if err != nil {
		return Host{}, err
	}
	cores := (spent - host.spent).Seconds() / now.Sub(host.measuredAt).Seconds()
	host.spent, host.measuredAt = spent, now
	return Host{PID: host.process.PID(), Cores: cores, Running: true}, nil
}

// lastLogLine returns the last line that the process logged, for the error of a run whose
// folder is removed.
func (host *host) lastLogLine() string {
	data, err := os.ReadFile(host.logPath)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(lines[len(lines)-1])
}
