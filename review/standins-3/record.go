package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one JSON line each.
type record struct {
	startedAt time.Time

	mutex sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{startedAt: time.Now(), file: file}, nil
}

// add writes one line. Pairs are names and values.
func (record *record) add(what string, pairs ...any) {
	line := map[string]any{"at_ms": time.Since(record.startedAt).Milliseconds(), "what": what}
	for index := 0; index+1 < len(pairs); index += 2 {
		line[fmt.Sprint(pairs[index])] = pairs[index+1]
	}
	data, err := json.Marshal(line)
	if err != nil {
		data = []byte(fmt.Sprintf("%q", err.Error()))
	}
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = record.file.Write(append(data, '\n'))
}
