// Package child runs child processes that end with this one: a child's standard input is
// a pipe that no process writes to, and whose end shows the child that this process has ended.
//
// # Usage
//
//	process, err := child.Start(child.Config{Command: []string{"/usr/bin/cat"}, LogPath: "cat.log"})
//	spent, err := process.ProcessorTime()
//	process.Kill()
package child

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// tick is the unit of the processor times in /proc/PID/stat.
	tick = 10 * time.Millisecond
	// userField and systemField are the indexes of the processor times in user and in
	// kernel mode among the fields after the command's name.
	userField   = 11
	systemField = 12
	logFileMode = 0o600
)

// Config is fixed for the life of a child.
type Config struct {
	// Command is the path of the program and its arguments.
	Command []string
	// Environment is added to the environment of this process, as NAME=VALUE.
	Environment []string
	// LogPath is the file to which the child's output is appended.
	LogPath string
}

// Process is a child process.
type Process struct {
	command *exec.Cmd
	log     *os.File
	// ended is closed once the child has ended and was waited for; err is why it ended.
	ended chan struct{}
	err   error
}

// Start starts a child.
func Start(config Config) (*Process, error) {
	log, err := os.OpenFile(config.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the log of a child")
	}
	process := &Process{command: exec.Command(config.Command[0], config.Command[1:]...), log: log, ended: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = log, log
	process.command.Env = append(os.Environ(), config.Environment...)
	if err := process.start(); err != nil {
		_ = log.Close() // the error of the start has the details
		return nil, err
	}
	go process.wait()
	return process, nil
}

func (process *Process) start() error {
	// The pipe is closed when the child has been waited for.
	if _, err := process.command.StdinPipe(); err != nil {
		return errors.Wrap(err, "open the input of a child")
	}
	if err := process.command.Start(); err != nil {
		return errors.Wrap(err, "start a child")
	}
	return nil
}

func (process *Process) wait() {
	defer close(process.ended)
	err := process.command.Wait()
	process.err = errors.Errorf("child %d ended by itself: %v", process.PID(), err)
	if err := process.log.Close(); err != nil {
		process.err = errors.Wrap(process.err, err.Error())
	}
}

// PID returns the child's process id.
func (process *Process) PID() int { return process.command.Process.Pid }

// Err returns nil while the child runs, and else how it ended.
func (process *Process) Err() error {
	select {
	case <-process.ended:
		return process.err
	default:
		return nil
	}
}

// ProcessorTime returns the processor time that the child has spent since its start.
func (process *Process) ProcessorTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.PID()))
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time of a child")
	}
	return parseProcessorTime(string(data))
}

// parseProcessorTime returns the sum of the processor times in a line of /proc/PID/stat.
// The command's name, in parentheses, may hold spaces.
func parseProcessorTime(line string) (time.Duration, error) {
	fields := strings.Fields(line[strings.LastIndex(line, ")")+1:])
	if len(fields) <= systemField {
		return 0, errors.Errorf("read the processor time of a child: %d fields in %q", len(fields), line)
	}
	total := time.Duration(0)
	for _, field := range []int{userField, systemField} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read the processor time of a child")
		}
		total += time.Duration(ticks) * tick
	}
	return total, nil
}

// Kill kills the child and returns once it has been waited for.
func (process *Process) Kill() {
	// An error means that the child has ended already.
	_ = process.command.Process.Kill()
	<-process.ended
}
