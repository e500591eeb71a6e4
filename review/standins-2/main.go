// Command standins-2 plays the cases of the second review: it starts the project's own programs as
// separate processes on loopback addresses, with stand-ins of clients, servers and the operator.
//
//	standins-2 CASE PROGRAM RECORD
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime bounds a case.
const caseTime = 110 * time.Second

// play is one case. It returns whether the rule was broken, or why the case couldn't run.
type play func(ctx context.Context, run *caseRun) (broken bool, err error)

// caseRun is what a case needs.
type caseRun struct {
	record  *Record
	program string
	// trouble is false for a run without the disruption.
	trouble bool
}

var plays = map[string]play{}

func main() {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, path string) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	caseRun := &caseRun{record: record, program: program, trouble: os.Getenv("TROUBLE") != "0"}
	record.Printf("case %s, trouble %v", name, caseRun.trouble)
	broken, err := plays[name](ctx, caseRun)
	switch {
	case err != nil:
		record.Printf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return exitNotRun
	case broken:
		record.Printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		record.Printf("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
