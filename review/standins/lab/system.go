// Package lab runs the project's own program as the processes of a small deployment on loopback
// addresses, with stand-ins for its engines, its clients and the operator.
//
// # Usage
//
//	system, err := lab.Start(record, lab.Config{Fronts: 2})
//	defer system.Stop()
//	err = system.Operator.Replace(ctx, configuration)
package lab

import (
	"errors"
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

// cores is the number of control hosts: as many as survive the loss of two.
const cores = 5

// Config is what a case chooses of a deployment.
type Config struct {
	// Fronts is the number of entry hosts.
	Fronts int
}

// System is a running deployment.
type System struct {
	Record   *Record
	Operator *Operator
	Fronts   []*Process
	Cores    []*Process

	folder   string
	basePort int

	mutex   sync.Mutex
	engines map[string]*Engine
	// joinedWhileOpen describes each join of another group while the head of the engine's own
	// one was open or closing, or stood still and wasn't broken yet.
	joinedWhileOpen []string
}

// Process is one process of the system on a machine of its own, which is a loopback address.
type Process struct {
	Name string
	// Address is the IP address of its machine.
	Address string

	system   *System
	settings string
	log      string

	mutex   sync.Mutex
	command *exec.Cmd
	// exited is closed when the present run has ended.
	exited chan struct{}
	// exits are the ends of runs that nobody asked for.
	exits   int
	asked   bool
	closing bool
}

// restartPause is the short delay after which the platform starts an ended process again.
const restartPause = 300 * time.Millisecond

// Port offsets from the deployment's first port.
const (
	internalPort = 0
	frontPort    = 16
	readyPort    = 17
	controlPort  = 18
	portCount    = 19
)

// Start starts all processes at once, with empty disks.
func Start(record *Record, config Config) (*System, error) {
	folder, err := os.MkdirTemp("", "carobline-review-")
	if err != nil {
		return nil, err
	}
	system := &System{Record: record, folder: folder, engines: map[string]*Engine{}}
	for index := range cores {
		system.Cores = append(system.Cores, &Process{Name: fmt.Sprintf("core-%d", index+1), Address: fmt.Sprintf("127.77.0.%d", index+1), system: system})
	}
	for index := range config.Fronts {
		system.Fronts = append(system.Fronts, &Process{Name: fmt.Sprintf("front-%d", index+1), Address: fmt.Sprintf("127.77.1.%d", index+1), system: system})
	}
	if err := system.choosePort(); err != nil {
		return nil, err
	}
	system.Operator = &Operator{system: system}
	for _, process := range system.processes() {
		if err := process.prepare(); err != nil {
			return nil, err
		}
	}
	for _, process := range system.processes() {
		if err := process.start(); err != nil {
			system.Stop()
			return nil, err
		}
	}
	return system, nil
}

func (system *System) processes() []*Process {
	return append(append([]*Process{}, system.Cores...), system.Fronts...)
}

// choosePort finds a range of ports that is free at the addresses of all machines.
func (system *System) choosePort() error {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		if system.portsFree(base) {
			system.basePort = base
			return nil
		}
	}
	return errors.New("no free ports")
}

func (system *System) portsFree(base int) bool {
	for _, process := range system.processes() {
		for offset := range portCount {
			listener, err := net.Listen("tcp", net.JoinHostPort(process.Address, fmt.Sprint(base+offset)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (process *Process) at(offset int) string {
	return net.JoinHostPort(process.Address, fmt.Sprint(process.system.basePort+offset))
}

// Front returns the address for clients.
func (process *Process) Front() string { return process.at(frontPort) }

// Control returns the address for the operator and the engines.
func (process *Process) Control() string { return process.at(controlPort) }

// Ready returns the address of the platform's question whether the process is ready.
func (process *Process) Ready() string { return process.at(readyPort) }

func (process *Process) isCore() bool { return strings.HasPrefix(process.Name, "core") }

// prepare writes the settings of the first start.
func (process *Process) prepare() error {
	process.settings = filepath.Join(process.system.folder, process.Name+".yaml")
	process.log = filepath.Join(process.system.folder, process.Name+".log")
	return process.writeSettings(true)
}

func (process *Process) writeSettings(bootstrap bool) error {
	system := process.system
	class, serves, addresses, data := "front", "front", fmt.Sprintf("  front: %q\n  ready: %q\n", process.Front(), process.Ready()), "null"
	if process.isCore() {
		class, serves, addresses = "core", "control", fmt.Sprintf("  control: %q\n", process.Control())
		data = fmt.Sprintf("%q", filepath.Join(system.folder, process.Name+".data"))
	}
	text := fmt.Sprintf(settingsText, process.Name, serves, class, serves, process.Address, addresses, system.basePort+internalPort, system.basePort+internalPort+15,
		system.Cores[0].Control(), system.Cores[1].Control(), system.Cores[2].Control(), bootstrap, process.isCore(), data,
		heartbeatInterval.Milliseconds(), RevokeTime.Milliseconds(), StallTime.Milliseconds())
	return os.WriteFile(process.settings, []byte(text), 0o600)
}

// start starts the program as the deploy file says, and starts it again when it ends by itself.
func (process *Process) start() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.startLocked()
}

func (process *Process) startLocked() error {
	output, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/carobline-node")
	command.Env = []string{Name("settings_variable") + "=" + process.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	process.command, process.exited, process.asked = command, exited, false
	go process.await(command, exited)
	return nil
}

func (process *Process) await(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	process.mutex.Lock()
	if process.asked || process.closing {
		process.mutex.Unlock()
		return
	}
	process.exits++
	process.mutex.Unlock()
	process.system.Record.Printf("%s ended by itself: %v", process.Name, err)
	time.Sleep(restartPause)
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.closing {
		return
	}
	if err := process.writeSettings(false); err == nil {
		err = process.startLocked()
		if err != nil {
			process.system.Record.Printf("%s can't be started again: %v", process.Name, err)
		}
	}
}

// Exits returns how often the process has ended by itself.
func (process *Process) Exits() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.exits
}

// Signal sends a signal to the process.
func (process *Process) Signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		process.asked = true
	}
	_ = process.command.Process.Signal(signal)
}

// Restart starts the process again after it was ended by a signal, once that run is over.
func (process *Process) Restart() error {
	process.mutex.Lock()
	exited := process.exited
	process.mutex.Unlock()
	<-exited
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if err := process.writeSettings(false); err != nil {
		return err
	}
	return process.startLocked()
}

// LogTail returns the last lines of the process's output that hold a text.
func (process *Process) LogTail(text string, lines int) []string {
	data, err := os.ReadFile(process.log)
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found[max(0, len(found)-lines):]
}

// Stop ends all processes that this test started, and removes their folder.
func (system *System) Stop() {
	for _, process := range system.processes() {
		process.mutex.Lock()
		process.closing = true
		if process.command != nil {
			_ = process.command.Process.Signal(syscall.SIGCONT)
			_ = process.command.Process.Kill()
		}
		exited := process.exited
		process.mutex.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(system.folder)
	} else {
		fmt.Println("logs:", system.folder)
	}
}
