package run

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/step"
)

const (
	// recordFile is the name of the record in the data folder.
	recordFile = "run"
	recordPerm = 0o600
	folderPerm = 0o700
	// recordInterval is how often the record is written while the run goes on.
	recordInterval = 10 * time.Second
)

// record is what a run with a data folder leaves for the next one. It isn't synced: after a
// loss of power it may be missing, older or unreadable, and then is ignored.
type record struct {
	Incarnation id.Incarnation `json:"incarnation"`
	Process     string         `json:"process,omitempty"`
	StartedAt   time.Time      `json:"started_at"`
	WrittenAt   time.Time      `json:"written_at"`
	Last        feed.RunState  `json:"last"`
	Stopped     bool           `json:"stopped,omitempty"`
}

// keepRecord reads the record of the run before this one, and writes that of this one until
// the run is closed. It has a goroutine of its own, since the disk may hang.
func (run *Run) keepRecord() {
	defer close(run.recorded)
	if former, ok := run.formerRun(); ok {
		run.logFormer(former, sourceRecord)
	}
	logged := false
	write := func(stopped bool) {
		if err := run.writeRecord(stopped); err != nil && !logged {
			logged = true
			run.config.Log.Warn().Err(err).Str("step", "run_record").Msg("the record of this run can't be written; the next start may not know how it ends")
		}
	}
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	write(false)
	for {
		select {
		case <-ticker.C:
			write(false)
		case <-run.closing:
			write(true)
			return
		}
	}
}

// formerRun returns the run before this one, if its record shows that it has ended without a
// stop. A record of a still earlier run, or of this process, is ignored.
func (run *Run) formerRun() (feed.EndedRun, bool) {
	data, err := os.ReadFile(filepath.Join(run.config.Folder, recordFile))
	if err != nil {
		return feed.EndedRun{}, false
	}
	var former record
	if json.Unmarshal(data, &former) != nil || former.Stopped || (run.config.Former != 0 && former.Incarnation != run.config.Former) {
		return feed.EndedRun{}, false
	}
	if former.Process != "" && former.Process == run.config.Process {
		return feed.EndedRun{}, false
	}
	return feed.EndedRun{Last: former.Last, GapMS: max(0, run.startedAt.Sub(former.WrittenAt).Milliseconds())}, true
}

// writeRecord replaces the record, without a sync.
func (run *Run) writeRecord(stopped bool) error {
	now := run.config.Now()
	run.mutex.Lock()
	state := run.state(now)
	state.Calls = run.calls
	run.mutex.Unlock()
	data, err := json.Marshal(record{
		Incarnation: run.config.Incarnation, Process: run.config.Process, StartedAt: run.startedAt, WrittenAt: now, Last: *state, Stopped: stopped,
	})
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	// The log, which makes the folder at the first start, may not be open yet.
	if err := os.MkdirAll(run.config.Folder, folderPerm); err != nil {
		return errors.Wrap(err, "make data folder")
	}
	path := filepath.Join(run.config.Folder, recordFile)
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, recordPerm)
	if err != nil {
		return errors.Wrap(err, "create record")
	}
	_, err = run.config.Disk.Write(file, data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "write record")
	}
	return step.Wrap(run.config.Disk.Rename(path+".new", path), "rename record")
}
