// Package cluster runs entry hosts, engines and hosts of a plain service as processes on
// loopback addresses that nothing else uses, with a proxy on each link.
//
// # Usage
//
//	cluster, err := cluster.New(cluster.Config{Programs: "bin", Folder: folder, Seed: 7})
//	err = cluster.Start()
//	cluster.Process("n1").Pause(time.Second)
//	cluster.Link("n1>n2").SetFault(proxy.Fault{Kind: proxy.Silence})
//	cluster.Close()
package cluster

import (
	"maps"
	"path/filepath"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/loopback"
	"carobline.dev/soak/process/plan"
	"carobline.dev/soak/process/proxy"
)

// Sizes of a cluster. The first nodes vote.
const (
	nodeCount    = 5
	voterCount   = 3
	engineCount  = 8
	serviceCount = 3
)

// Ports of a node.
const (
	callersPort = iota
	hostsPort
	operatorsPort
	peersPort
)

// Config is fixed for the life of a cluster.
type Config struct {
	// Programs is the folder of caroblined, fakeengine and standin.
	Programs string
	// Folder gets settings, tokens, logs, data and records of runs.
	Folder string
	Seed   uint64
}

// Cluster is a running system. It is safe for concurrent use once it is started.
type Cluster struct {
	config    Config
	addresses *loopback.Range
	processes map[string]*Process
	links     map[string]*proxy.Proxy
	shape     plan.Shape
	used      int

	mutex sync.Mutex
	ended []string
}

// New claims addresses and writes the settings.
func New(config Config) (*Cluster, error) {
	addresses, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{config: config, addresses: addresses, processes: map[string]*Process{}, links: map[string]*proxy.Proxy{}}
	if err := cluster.prepare(); err != nil {
		return nil, errors.Join(err, addresses.Close())
	}
	return cluster, nil
}

// Shape returns the names of all processes and links.
func (cluster *Cluster) Shape() plan.Shape { return cluster.shape }

// Process returns a process by its name.
func (cluster *Cluster) Process(name string) *Process { return cluster.processes[name] }

// Link returns the proxy of a link by its name.
func (cluster *Cluster) Link(name string) *proxy.Proxy { return cluster.links[name] }

// CallerURLs returns the base URLs of the callers' interfaces.
func (cluster *Cluster) CallerURLs() []string { return cluster.urls(callersPort) }

// OperatorURLs returns the base URLs of the operators' interfaces.
func (cluster *Cluster) OperatorURLs() []string { return cluster.urls(operatorsPort) }

func (cluster *Cluster) urls(port int) []string {
	var urls []string
	for index := range nodeCount {
		urls = append(urls, "http://"+cluster.addresses.Address(index, port))
	}
	return urls
}

// EngineURL returns the base URL of an engine itself, without the proxy in front.
func (cluster *Cluster) EngineURL(name string) string {
	return "http://" + cluster.hostAddress(slices.Index(cluster.shape.Engines, name))
}

// Start starts all processes.
func (cluster *Cluster) Start() error {
	for _, name := range slices.Sorted(maps.Keys(cluster.processes)) {
		if err := cluster.processes[name].Start(); err != nil {
			return err
		}
	}
	return nil
}

// Ended returns the processes that ended without a request to end.
func (cluster *Cluster) Ended() []string {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return slices.Clone(cluster.ended)
}

func (cluster *Cluster) recordEnded(process string) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.ended = append(cluster.ended, process)
}

// Close ends all processes and links, and gives the addresses up.
func (cluster *Cluster) Close() error {
	var ends sync.WaitGroup
	for _, process := range cluster.processes {
		ends.Go(process.Close)
	}
	ends.Wait()
	for _, link := range cluster.links {
		link.Close()
	}
	return cluster.addresses.Close()
}

func (cluster *Cluster) addProcess(name, program string, arguments ...string) {
	cluster.processes[name] = &Process{
		name: name, command: append([]string{filepath.Join(cluster.config.Programs, program)}, arguments...),
		logPath: cluster.path(name + ".log"), report: cluster.recordEnded,
	}
}

// addLink starts a proxy for a target and returns its address.
func (cluster *Cluster) addLink(name, target string) (string, error) {
	const firstLink = 100
	address := cluster.addresses.Address(firstLink+cluster.used, 0)
	cluster.used++
	link, err := proxy.Start(address, target)
	if err != nil {
		return "", err
	}
	cluster.links[name] = link
	return address, nil
}

func (cluster *Cluster) path(name string) string { return filepath.Join(cluster.config.Folder, name) }
