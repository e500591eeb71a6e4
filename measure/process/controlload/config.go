package controlload

import (
	"time"

	"github.com/go-faster/errors"
)

// Config is what a run consists of. Times are counted from the start of the run.
type Config struct {
	// Command runs a control host; the path of its settings is added to it.
	Command []string
	// Nodes are those without a disk, beside the control hosts.
	Nodes, Engines, EnginesInDomain int
	// Length is when the run ends at the latest.
	Length time.Duration
	// DeclareAt is when a configuration is declared first.
	DeclareAt time.Duration
	// From FirstWaveAt on WaveEngines engines fail at a time, Waves times.
	Waves, WaveEngines        int
	FirstWaveAt, WaveInterval time.Duration
	// KillLeaderAt is when the leader is killed; 0 stands for never. It is started again
	// on the same disk.
	KillLeaderAt time.Duration
	// ProfilePath is the file for a processor profile of the host that leads at ProfileAt;
	// empty for none.
	ProfilePath string
	ProfileAt   time.Duration
	// OnSecond is called after each second. The run ends when it returns false. It may be
	// nil.
	OnSecond func(Second) bool
}

// maxEngines is how many engines a run may have, with those that replace lost ones.
const maxEngines = 50_000

// validate returns an error for the first value that is out of range.
func (config *Config) validate() error {
	checks := []struct {
		ok   bool
		text string
	}{
		{config.Nodes > 0 && config.Nodes <= maxNodes, "nodes: want 1 to 9,000"},
		{config.Engines > 0 && config.Engines+config.Waves*config.WaveEngines <= maxEngines, "engines: want 1 to 50,000, with those of all waves"},
		{config.EnginesInDomain > 0, "engines in a domain: want 1 or more"},
		{config.Length >= interval, "seconds: want 1 or more"},
		{config.Waves >= 0 && config.WaveEngines >= 0, "waves and their engines: want 0 or more"},
	}
	for _, check := range checks {
		if !check.ok {
			return errors.New(check.text)
		}
	}
	return nil
}
