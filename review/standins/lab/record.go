package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that a case writes: what was sent, answered and run, with the time since the
// start. It is safe for concurrent use.
type Record struct {
	mutex     sync.Mutex
	file      *os.File
	writer    *bufio.Writer
	startedAt time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, writer: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// Printf writes one line, also to the terminal.
func (record *Record) Printf(format string, arguments ...any) {
	line := record.Notef(format, arguments...)
	fmt.Print(line)
}

// Notef writes one line to the file only.
func (record *Record) Notef(format string, arguments ...any) string {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(record.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = record.writer.WriteString(line)
	return line
}

// Close writes what is buffered.
func (record *Record) Close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
