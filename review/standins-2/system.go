package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort    = 8227
	readyPort    = 8220
	controlPort  = 8229
	internalPort = 7340
	// endpointPort is that of the stand-ins of engines and services.
	endpointPort = 8120
)

// zones are those of the small deployment.
var zones = []string{"toledo-yard", "erie-dock", "buffalo-hub"}

// System is a small deployment on loopback addresses: core and front processes.
type System struct {
	program string
	folder  string
	prefix  string
	record  *Record
	cores   []*Process
	fronts  []*Process
	// bootstrap is what the settings say of the first start.
	bootstrap bool
}

// Process is one process of the deployment.
type Process struct {
	system  *System
	name    string
	class   string
	zone    string
	address string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool
}

// NewSystem makes folders and settings for so many core and front processes.
func NewSystem(record *Record, program string, cores, fronts int) (*System, error) {
	folder, err := os.MkdirTemp("", "carobline-review-")
	if err != nil {
		return nil, err
	}
	system := &System{program: program, folder: folder, record: record, bootstrap: true}
	if system.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	for index := range cores {
		system.cores = append(system.cores, system.newProcess("core", index))
	}
	for index := range fronts {
		system.fronts = append(system.fronts, system.newProcess("front", index))
	}
	return system, nil
}

// freePrefix returns the first three numbers of a range of loopback addresses that nothing uses.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, internalPort, endpointPort} {
			for _, host := range []int{10, 11, 30, 31, 50, 51} {
				socket, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = socket.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (system *System) newProcess(class string, index int) *Process {
	first := 10
	if class == "front" {
		first = 30
	}
	return &Process{
		system: system, class: class, name: fmt.Sprintf("%s-%d", class, index+1),
		zone: zones[index%len(zones)], address: fmt.Sprintf("%s%d", system.prefix, first+index),
	}
}

// endpointAddress returns the address of the stand-in of an endpoint.
func (system *System) endpointAddress(index int) string {
	return fmt.Sprintf("%s%d:%d", system.prefix, 50+index, endpointPort)
}

func (process *Process) control() string { return fmt.Sprintf("%s:%d", process.address, controlPort) }
func (process *Process) front() string   { return fmt.Sprintf("%s:%d", process.address, frontPort) }
func (process *Process) ready() string   { return fmt.Sprintf("%s:%d", process.address, readyPort) }

// settings returns the text of the settings file, with the values of a small deployment.
func (process *Process) settings() string {
	system := process.system
	seeds := []string{}
	for _, core := range system.cores[:min(3, len(system.cores))] {
		seeds = append(seeds, core.control())
	}
	values := map[string]any{
		"node_name": process.name, "role": process.class, "machine_class": process.class, "ip_address": process.address, "zone": process.zone, "region": "great-lakes",
		"zones":                 map[string]string{zones[0]: "great-lakes", zones[1]: "great-lakes", zones[2]: "great-lakes"},
		"internal_port_range":   []int{internalPort, internalPort + 15},
		"seeds":                 seeds,
		"bootstrap":             system.bootstrap,
		"discovery":             "registration",
		"entry":                 "virtual_ip",
		"heartbeat_interval_ms": 1200,
		"contracts":             []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"},
		"fault_tolerance":       map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"configuration_mode":    "highest",
		"bounds":                bounds(),
	}
	if process.class == "core" {
		values["serves"] = []string{"control"}
		values["counts_as_loss"] = true
		values["listen_addresses"] = map[string]string{"control": process.control()}
		values["limits"] = map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": 280, "file_descriptors": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		values["data_directory"] = process.folder("data")
	} else {
		values["serves"] = []string{"front"}
		values["counts_as_loss"] = false
		values["listen_addresses"] = map[string]string{"front": process.front(), "ready": process.ready()}
		values["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0}
		values["data_directory"] = nil
	}
	// JSON is YAML too.
	text, _ := json.MarshalIndent(values, "", "  ")
	return string(text) + "\n"
}

func (process *Process) folder(name string) string {
	return filepath.Join(process.system.folder, process.name+"-"+name)
}

// Start starts the process with the present settings.
func (process *Process) Start() error {
	path := process.folder("settings.yaml")
	if err := os.WriteFile(path, []byte(process.settings()), 0o600); err != nil {
		return err
	}
	if process.class == "core" {
		if err := os.MkdirAll(process.folder("data"), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(process.folder("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(process.system.program)
	command.Env = append(os.Environ(), wire("settings_variable")+"="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	process.mutex.Lock()
	process.command, process.ended, process.wanted = command, ended, true
	process.mutex.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		process.mutex.Lock()
		unwanted := process.command == command && process.wanted
		process.mutex.Unlock()
		if unwanted {
			process.system.record.Printf("process %s ended by itself: %v", process.name, err)
		}
		close(ended)
	}()
	return nil
}

func (process *Process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command != nil {
		if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
			process.wanted = false
		}
		_ = process.command.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (process *Process) Kill() {
	process.signal(syscall.SIGKILL)
	process.wait(5 * time.Second)
}

func (process *Process) wait(most time.Duration) bool {
	process.mutex.Lock()
	ended := process.ended
	process.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// Start starts all processes.
func (system *System) Start() error {
	for _, process := range system.all() {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (system *System) all() []*Process {
	return append(append([]*Process{}, system.cores...), system.fronts...)
}

// KillAll kills processes at the same moment and waits for their ends.
func KillAll(processes []*Process) {
	for _, process := range processes {
		process.signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.wait(5 * time.Second)
	}
}

// Close ends all processes and removes the folder.
func (system *System) Close() {
	for _, process := range system.all() {
		process.signal(syscall.SIGCONT)
	}
	KillAll(system.all())
	_ = os.RemoveAll(system.folder)
}

// AwaitReady waits until a front process answers that it is ready.
func (process *Process) AwaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if answer, err := exchange(process.ready(), "GET "+wire("ready_path")+" HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", time.Second); err == nil && answer.status == 200 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", process.name)
}

// grep returns the lines of a process's log that contain a text.
func (process *Process) grep(text string) []string {
	data, _ := os.ReadFile(process.folder("log"))
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
