package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// maxCaseTime is the longest time that a case may take.
const maxCaseTime = 110 * time.Second

// Case is what the program of a case is given.
type Case struct {
	Context context.Context //nolint:containedctx // bounds the whole case
	Record  *Record
	// Trouble is false for a run without the disruption.
	Trouble bool
}

// Main runs a case and ends the process: run reports whether the rule was broken, and an error if
// the case couldn't run. The argument names the folder for the record.
func Main(run func(*Case) (broken bool, err error)) {
	os.Exit(mainCode(run))
}

func mainCode(run func(*Case) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		return ExitFailed
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	defer record.Close()
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("the disruption is played: %t", trouble)
	broken, err := run(&Case{Context: ctx, Record: record, Trouble: trouble})
	switch {
	case err != nil:
		record.Printf("the case couldn't run: %v", err)
		return ExitFailed
	case broken:
		record.Printf("the rule was broken")
		return ExitBroken
	default:
		record.Printf("the rule held")
		return ExitHeld
	}
}

// Until calls check every 100 ms until it is true, and returns false when that takes too long.
func Until(ctx context.Context, limit time.Duration, check func() bool) bool {
	for startedAt := time.Now(); time.Since(startedAt) < limit && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}
