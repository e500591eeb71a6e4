// Package textlog holds the text of a log that is read while it is written, such as a node's by its test.
//
// # Usage
//
//	var log textlog.Log
//	config.Log = zerolog.New(&log)
//	strings.Count(log.String(), `"step":"node_lost"`)
package textlog

import (
	"strings"
	"sync"
)

// Log holds all that was written to it. The zero value is empty. It is safe for concurrent use.
type Log struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write implements io.Writer.
func (log *Log) Write(line []byte) (int, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.text.Write(line)
}

// String returns all that has been written.
func (log *Log) String() string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.text.String()
}
