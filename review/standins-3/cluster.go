package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the names of the zones, in turn.
var zones = []string{"toledo-yard", "erie-dock", "buffalo-hub"}

// node is one process of the system.
type node struct {
	name    string
	ip      string
	zone    string
	control bool
	folder  string

	mutex   sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// stopped is set when the driver has ended the process.
	stopped bool
}

// cluster is the system and the addresses of a run.
type cluster struct {
	names   names
	record  *record
	binary  string
	folder  string
	network string
	// ports are those of control, callers, readiness, peers and engines, the same on all hosts.
	controlPort, callerPort, readyPort, peerPort, enginePort int

	controls, fronts []*node
	client           *http.Client
	ended            chan string
}

// newCluster draws a network of loopback addresses on which the ports are free.
func newCluster(names names, record *record, binary, folder string) (*cluster, error) {
	cluster := &cluster{names: names, record: record, binary: binary, folder: folder, client: &http.Client{Timeout: time.Second}, ended: make(chan string, 64)}
	for range 50 {
		cluster.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + 10*rand.IntN(1200)
		cluster.controlPort, cluster.callerPort, cluster.readyPort, cluster.peerPort, cluster.enginePort = base, base+1, base+2, base+4, base+3
		if cluster.portsFree() {
			return cluster, nil
		}
	}
	return nil, errors.New("no free ports were found")
}

func (cluster *cluster) portsFree() bool {
	for _, host := range []int{1, 11, 101} {
		for _, port := range []int{cluster.controlPort, cluster.callerPort, cluster.readyPort, cluster.peerPort, cluster.enginePort} {
			listener, err := net.Listen("tcp", cluster.address(host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (cluster *cluster) ip(host int) string { return cluster.network + strconv.Itoa(host) }

func (cluster *cluster) address(host, port int) string {
	return net.JoinHostPort(cluster.ip(host), strconv.Itoa(port))
}

// start starts control hosts and fronts with empty disks.
func (cluster *cluster) start(controls, fronts int) error {
	for index := range controls {
		cluster.controls = append(cluster.controls, &node{
			name: fmt.Sprintf("core-%d", index+1), ip: cluster.ip(1 + index), zone: zones[index%len(zones)], control: true,
			folder: filepath.Join(cluster.folder, fmt.Sprintf("disk-%d", index+1)),
		})
	}
	for index := range fronts {
		cluster.fronts = append(cluster.fronts, &node{name: fmt.Sprintf("front-%d", index+1), ip: cluster.ip(11 + index), zone: zones[index%len(zones)]})
	}
	for _, node := range append(append([]*node{}, cluster.controls...), cluster.fronts...) {
		if err := cluster.startNode(node, true); err != nil {
			return err
		}
	}
	return nil
}

// startNode writes the settings of a node and starts its process.
func (cluster *cluster) startNode(node *node, first bool) error {
	seeds, listen := "", ""
	for _, control := range cluster.controls[:min(3, len(cluster.controls))] {
		seeds += fmt.Sprintf("  - \"%s:%d\"\n", control.ip, cluster.controlPort)
	}
	values := map[string]string{
		"NAME": node.name, "IP": node.ip, "ZONE": node.zone, "PEER": strconv.Itoa(cluster.peerPort), "PEERLAST": strconv.Itoa(cluster.peerPort + 4),
		"SEEDS": strings.TrimSuffix(seeds, "\n"), "BOOTSTRAP": strconv.FormatBool(first), "COUNTS": strconv.FormatBool(node.control),
	}
	if node.control {
		listen = fmt.Sprintf("  control: \"%s:%d\"", node.ip, cluster.controlPort)
		values["ROLE"], values["CLASS"], values["SERVES"], values["DATA"] = "control", "core", "control", strconv.Quote(node.folder)
	} else {
		listen = fmt.Sprintf("  front: \"%s:%d\"\n  ready: \"%s:%d\"", node.ip, cluster.callerPort, node.ip, cluster.readyPort)
		values["ROLE"], values["CLASS"], values["SERVES"], values["DATA"] = "entry", "front", "front", "null"
	}
	values["LISTEN"] = listen
	text := settingsText
	for name, value := range values {
		text = strings.ReplaceAll(text, "%"+name+"%", value)
	}
	path := filepath.Join(cluster.folder, node.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(cluster.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	command := exec.Command(cluster.binary)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), cluster.names.Settings + "=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", node.name, err)
	}
	_ = log.Close()
	done := make(chan struct{})
	node.mutex.Lock()
	node.process, node.done, node.stopped = command, done, false
	node.mutex.Unlock()
	cluster.record.add("start", "node", node.name, "ip", node.ip)
	go func() {
		err := command.Wait()
		node.mutex.Lock()
		stopped := node.stopped
		node.mutex.Unlock()
		close(done)
		if !stopped {
			cluster.record.add("ended_by_itself", "node", node.name, "error", fmt.Sprint(err))
			select {
			case cluster.ended <- node.name:
			default:
			}
		}
	}()
	return nil
}

// signal sends a signal to a node's process. A signal that ends it is awaited.
func (cluster *cluster) signal(node *node, signal syscall.Signal) {
	node.mutex.Lock()
	process, done := node.process, node.done
	ends := signal == syscall.SIGKILL || signal == syscall.SIGTERM
	node.stopped = node.stopped || ends
	node.mutex.Unlock()
	cluster.record.add("signal", "node", node.name, "signal", signal.String())
	_ = process.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-done
	}
}

// close ends all processes.
func (cluster *cluster) close() {
	for _, node := range append(append([]*node{}, cluster.controls...), cluster.fronts...) {
		node.mutex.Lock()
		process, done := node.process, node.done
		node.stopped = true
		node.mutex.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGKILL)
		<-done
	}
}

// call sends one request to a control host. It returns the status, 0 for no answer.
func (cluster *cluster) call(control *node, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s:%d%s", control.ip, cluster.controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := cluster.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// callAny sends a request to one control host after another until one answers with 2xx, as
// operators and engines do. A 4xx ends it.
func (cluster *cluster) callAny(ctx context.Context, first int, method, path string, body []byte) (int, string) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		control := cluster.controls[(first+attempt)%len(cluster.controls)]
		status, _ := cluster.call(control, method, path, body)
		if status >= 200 && status < 300 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status, control.name
		}
		time.Sleep(time.Duration(min(50<<min(attempt, 4), 400)) * time.Millisecond)
	}
	return 0, ""
}

// configuration returns the text of a configuration.
func configuration(version, timeoutMS int) string {
	return strings.ReplaceAll(strings.ReplaceAll(configurationText, "%VERSION%", strconv.Itoa(version)), "%TIMEOUT%", strconv.Itoa(timeoutMS))
}

// configure sends a configuration until it is acknowledged.
func (cluster *cluster) configure(ctx context.Context, version, timeoutMS int) error {
	text := configuration(version, timeoutMS)
	cluster.record.add("configure", "version", version)
	status, by := cluster.callAny(ctx, version, http.MethodPost, cluster.names.ReplacePath, []byte(text))
	cluster.record.add("configured", "version", version, "status", status, "by", by)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d is answered %d", version, status)
	}
	return nil
}

// ready reports whether a front says that it is ready.
func (cluster *cluster) ready(front *node) bool {
	response, err := cluster.client.Get(fmt.Sprintf("http://%s:%d%s", front.ip, cluster.readyPort, cluster.names.ReadyPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
