package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// exitWait is how long a process that was asked to end may go on before it is killed.
	exitWait = 20 * time.Second
	// restartWait is how long a process that has ended by itself stays down.
	restartWait = 500 * time.Millisecond
	logFileMode = 0o600
)

// Process is one program that is started again after it has ended. It is safe for
// concurrent use.
type Process struct {
	name    string
	command []string
	logPath string
	// report receives each end that wasn't requested.
	report func(string)

	// lifecycle is held while the process is ended and started.
	lifecycle sync.Mutex

	mutex   sync.Mutex
	current *instance
	paused  int
	// mayEnd is set once the process may end with exit code 0 by itself, and closed
	// once it isn't started again.
	mayEnd bool
	closed bool
}

// instance is one life of a process.
type instance struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	// asked is set before the process is asked to end.
	asked bool
}

// Start starts the process unless it runs.
func (process *Process) Start() error {
	process.lifecycle.Lock()
	defer process.lifecycle.Unlock()
	return process.start()
}

func (process *Process) start() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.current != nil || process.closed {
		return nil
	}
	log, err := os.OpenFile(process.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return errors.Wrap(err, "open a log")
	}
	instance := &instance{command: exec.Command(process.command[0], process.command[1:]...), log: log, ended: make(chan struct{})}
	instance.command.Stdout, instance.command.Stderr = log, log
	if err := instance.command.Start(); err != nil {
		_ = log.Close() // the error of the start has the details
		return errors.Wrapf(err, "start %s", process.name)
	}
	process.current = instance
	go process.wait(instance)
	return nil
}

// wait waits for the end of one life. If it wasn't requested, it is reported, unless it is that
// of a planned stop, and the process is started again.
func (process *Process) wait(instance *instance) {
	err := instance.command.Wait()
	_ = instance.log.Close() // the process itself wrote to it
	process.mutex.Lock()
	process.current = nil
	mayEnd := process.mayEnd && err == nil
	process.mutex.Unlock()
	close(instance.ended)
	if instance.asked {
		return
	}
	if !mayEnd {
		process.report(fmt.Sprintf("%s, process %d, ended by itself: %v; see %s", process.name, instance.command.Process.Pid, err, process.logPath))
	}
	time.AfterFunc(restartWait, func() {
		if err := process.Start(); err != nil {
			process.report(err.Error())
		}
	})
}

// Close kills the process for good.
func (process *Process) Close() {
	process.mutex.Lock()
	process.closed = true
	process.mutex.Unlock()
	process.End(syscall.SIGKILL)
}

// End ends the process with a signal, and kills it if it takes too long.
func (process *Process) End(signal syscall.Signal) {
	process.lifecycle.Lock()
	defer process.lifecycle.Unlock()
	process.end(signal)
}

func (process *Process) end(signal syscall.Signal) {
	process.mutex.Lock()
	instance := process.current
	if instance != nil {
		instance.asked = true
		_ = instance.command.Process.Signal(signal) // fails only if it has ended
	}
	process.mutex.Unlock()
	if instance == nil {
		return
	}
	select {
	case <-instance.ended:
	case <-time.After(exitWait):
		_ = instance.command.Process.Kill()
		<-instance.ended
	}
}

// Restart ends the process with a signal and starts it again after a time.
func (process *Process) Restart(signal syscall.Signal, wait time.Duration) error {
	process.lifecycle.Lock()
	defer process.lifecycle.Unlock()
	process.end(signal)
	time.Sleep(wait)
	return process.start()
}

// AllowEnd lets the process end by itself with exit code 0 from now on.
func (process *Process) AllowEnd() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.mayEnd = true
}

// Pause stops the process for a time. Pauses may overlap.
func (process *Process) Pause(length time.Duration) {
	process.count(1, syscall.SIGSTOP)
	time.Sleep(length)
	process.count(-1, syscall.SIGCONT)
}

// count counts the pauses, and sends the signal with the first one and after the last one.
func (process *Process) count(change int, signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.paused += change
	last := process.paused == 0 || process.paused == 1 && change > 0
	if last && process.current != nil {
		_ = process.current.command.Process.Signal(signal) // fails only if it has ended
	}
}
