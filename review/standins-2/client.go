package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record is the record of what was sent, answered and run.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the record's file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, started: time.Now()}, err
}

// Printf writes one line with the time since the start.
func (record *Record) Printf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%9.3f s  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// answer is the answer to one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// bodyErr is why the body isn't whole.
	bodyErr error
}

// exchange sends the bytes of one request on a new connection and reads the answer.
func exchange(address, request string, timeout time.Duration) (*answer, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(connection, request); err != nil {
		return nil, err
	}
	return readAnswer(bufio.NewReader(connection), nil)
}

func readAnswer(reader *bufio.Reader, request *http.Request) (*answer, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return &answer{status: response.StatusCode, header: response.Header, body: body, bodyErr: err}, nil
}
