// Package controlload measures whole control hosts under load: real ones as child
// processes with one processor each, with many nodes without a disk and stand-ins for
// engines, all on loopback. Some engines fail at a time, several times, and the leader is killed.
//
// # Usage
//
//	result, err := controlload.Run(ctx, config, os.Stdout) // one line a second
//	result.Report(report)
package controlload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/loopback"
	"carobline.dev/core/version/view"
	"carobline.dev/measure/process/controlhost"
	"carobline.dev/measure/process/engines"
	"carobline.dev/measure/process/nodes"
)

const (
	controlHosts = 5
	// firstNode and firstEngine are the numbers of the first addresses of nodes and of
	// engines; control hosts have the ones from 0.
	firstNode   = 250
	firstEngine = 10_000
	// maxNodes is how many nodes a run may have.
	maxNodes = 9_000
	// nodePort is in the names of nodes, which don't listen.
	nodePort = "7340"
	// interval is the time between two samples.
	interval = time.Second
	// restartTime is how long after it was killed the leader is started again.
	restartTime = 3 * time.Second
	// declareRetryDelay is the time between two tries to declare the configuration, and
	// declareTimeout bounds one try.
	declareRetryDelay = 300 * time.Millisecond
	declareTimeout    = time.Second
)

// run is one run and all that it has started.
type run struct {
	config    Config
	out       io.Writer
	startedAt time.Time
	folder    string
	addresses *loopback.Range
	hosts     []*host
	fleet     *engines.Fleet
	nodes     *nodes.Nodes
	result    Result

	// wavesDone counts the waves so far. restartAt is when the killed leader is started.
	wavesDone int
	restartAt time.Time
	// profiled is true once the profile was begun.
	profiled bool

	ctx        context.Context //nolint:containedctx // bounds the declaration and the profile
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// Run runs the load until its end, or until ctx ends, and prints one line a second to out.
// It returns once all processes that it started are gone and its folder is removed.
func Run(ctx context.Context, config Config, out io.Writer) (result Result, err error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	ctx, stop := context.WithCancel(ctx)
	run := &run{config: config, out: out, startedAt: time.Now(), ctx: ctx, stop: stop, result: Result{KilledLeader: NoLeader}}
	defer func() {
		if closeErr := run.close(); err == nil {
			err = closeErr
		}
	}()
	if err := run.start(); err != nil {
		return Result{}, err
	}
	err = run.loop()
	return run.result, err
}

// start starts the control hosts, the engines and the nodes.
func (run *run) start() error {
	var err error
	if run.folder, err = os.MkdirTemp("", "control-load-"); err != nil {
		return errors.Wrap(err, "make a temporary folder")
	}
	if run.addresses, err = loopback.Claim(); err != nil {
		return err
	}
	run.fleet, err = engines.New(engines.Config{
		Engines: run.config.Engines, EnginesInDomain: run.config.EnginesInDomain, Service: service,
		IP: func(number int) string { return run.addresses.IP(firstEngine + number) },
	})
	if err != nil {
		return err
	}
	if run.hosts, err = newHosts(controlHosts, run.config.Command, run.folder, run.addresses); err != nil {
		return err
	}
	for _, host := range run.hosts {
		if err := host.start(run.startedAt); err != nil {
			return err
		}
	}
	run.startFleet()
	return nil
}

func (run *run) startFleet() {
	var controlAddresses []string
	for _, host := range run.hosts {
		controlAddresses = append(controlAddresses, host.settings.ControlAddress)
	}
	run.fleet.Start(controlAddresses)
	var contacts []id.Node
	for _, seed := range run.hosts[0].settings.Seeds {
		contacts = append(contacts, id.Node(seed))
	}
	run.nodes = nodes.Start(nodes.Config{
		Nodes: run.config.Nodes, Contacts: contacts,
		Address: func(number int) string { return net.JoinHostPort(run.addresses.IP(firstNode+number), nodePort) },
		Stalled: func(now time.Time, endpoint *view.Endpoint) bool {
			return run.fleet.Stalled(now, endpoint.Name.Group, endpoint.Fencing)
		},
	})
	run.goroutines.Go(run.declare)
}

// close ends all that was started, also what is left of a start that failed.
func (run *run) close() error {
	run.stop()
	run.goroutines.Wait()
	if run.nodes != nil {
		run.nodes.Close()
	}
	if run.fleet != nil {
		run.fleet.Close()
	}
	for _, host := range run.hosts {
		host.kill()
	}
	if run.addresses != nil {
		if err := run.addresses.Close(); err != nil {
			return err
		}
	}
	return removeFolder(run.folder)
}

func removeFolder(folder string) error {
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "remove the temporary folder")
	}
	return nil
}

// declare declares the configuration, again and again until a control host accepts it.
func (run *run) declare() {
	if !run.sleep(run.config.DeclareAt) {
		return
	}
	client := rest.NewClient(&http.Client{Timeout: declareTimeout}, "")
	for number := 0; ; number++ {
		address := run.hosts[number%len(run.hosts)].settings.ControlAddress
		if client.Send(run.ctx, http.MethodPost, "http://"+address, controlhost.DeclarePath, declaration(), nil) == nil {
			return
		}
		if !run.sleep(declareRetryDelay) {
			return
		}
	}
}

// sleep reports whether the run goes on after a time.
func (run *run) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-run.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// loop samples once a second, and does what is due, until the run's end.
func (run *run) loop() error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for time.Since(run.startedAt) < run.config.Length {
		select {
		case <-run.ctx.Done():
			return errors.Wrap(run.ctx.Err(), "the run was broken off")
		case now := <-ticker.C:
			goOn, err := run.second(now)
			if err != nil || !goOn {
				return err
			}
		}
	}
	return nil
}

// second takes and prints one sample and does what is due. It reports whether the run goes
// on.
func (run *run) second(now time.Time) (bool, error) {
	second, err := run.sample(now)
	if err != nil {
		return false, err
	}
	if err := run.act(now, &second); err != nil {
		return false, err
	}
	fmt.Fprintln(run.out, second.String())
	run.result.Seconds = append(run.result.Seconds, second)
	return run.config.OnSecond == nil || run.config.OnSecond(second), nil
}

func (run *run) sample(now time.Time) (Second, error) {
	second := Second{Number: len(run.result.Seconds) + 1, Leader: NoLeader, Nodes: run.nodes.Sample(now), Engines: run.fleet.Sample()}
	for index, host := range run.hosts {
		measured, err := host.measure(now)
		if err != nil {
			return second, err
		}
		second.Hosts = append(second.Hosts, measured)
		if measured.Running && host.settings.PeerAddress == electorate.Address(second.Nodes.Leader) {
			second.Leader = index
		}
	}
	return second, nil
}

// act profiles the leader, makes engines fail, kills the leader and starts it again, each
// when it is due, and adds what it did to the second.
func (run *run) act(now time.Time, second *Second) error {
	elapsed := now.Sub(run.startedAt)
	if run.profileDue(elapsed) && second.Leader != NoLeader {
		second.Events = append(second.Events, run.profile(second.Leader))
	}
	if run.wavesDone < run.config.Waves && elapsed >= run.config.FirstWaveAt+time.Duration(run.wavesDone)*run.config.WaveInterval {
		run.wavesDone++
		second.Disturbed = true
		second.Events = append(second.Events, fmt.Sprintf("%d engines fail", run.fleet.Lose(now, run.config.WaveEngines)))
	}
	if run.killDue(elapsed) && second.Leader != NoLeader {
		run.hosts[second.Leader].kill()
		run.result.KilledLeader, run.restartAt = second.Leader, now.Add(restartTime)
		second.Disturbed = true
		second.Events = append(second.Events, fmt.Sprintf("control host %d is killed", second.Leader))
	}
	if run.restartAt.IsZero() || now.Before(run.restartAt) {
		return nil
	}
	run.restartAt = time.Time{}
	second.Events = append(second.Events, fmt.Sprintf("control host %d is started again", run.result.KilledLeader))
	return run.hosts[run.result.KilledLeader].start(now)
}

func (run *run) killDue(elapsed time.Duration) bool {
	return run.config.KillLeaderAt > 0 && elapsed >= run.config.KillLeaderAt && run.result.KilledLeader == NoLeader
}
