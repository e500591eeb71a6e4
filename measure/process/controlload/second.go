package controlload

import (
	"fmt"
	"strings"

	"carobline.dev/measure/process/engines"
	"carobline.dev/measure/process/nodes"
)

// NoLeader stands for the index of the leader while no node has one.
const NoLeader = -1

// Host is one control host in one second.
type Host struct {
	PID int
	// Cores is the processor time that it spent over the time that passed.
	Cores float64
	// Running is false from when it was killed until it is started again.
	Running bool
}

// Second is what was seen in one second of a run.
type Second struct {
	// Number counts the seconds from 1.
	Number  int
	Hosts   []Host
	Leader  int
	Nodes   nodes.Sample
	Engines engines.Sample
	// Events lists what was done at the end of the second, and Disturbed is true if engines
	// failed or the leader was killed then.
	Events    []string
	Disturbed bool
}

// String returns the second as one line.
func (second *Second) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%3d s  cores", second.Number)
	for index, host := range second.Hosts {
		switch {
		case !host.Running:
			fmt.Fprintf(&line, "  %d: none", index)
		case index == second.Leader:
			fmt.Fprintf(&line, "  %d: %.2f leads", index, host.Cores)
		default:
			fmt.Fprintf(&line, "  %d: %.2f", index, host.Cores)
		}
	}
	fmt.Fprintf(&line, "; %d feed requests; %d announcements, %d refused; %d groups open, nodes see %d to %d, %d without a lease",
		second.Nodes.FeedRequests, second.Engines.Announcements, second.Engines.Refused, second.Engines.OpenGroups,
		second.Nodes.LeastEndpoints, second.Nodes.MostEndpoints, second.Nodes.WithoutLease)
	for _, event := range second.Events {
		line.WriteString("; " + event)
	}
	return line.String()
}

// cores returns the cores of the leader, and the mean of the other running hosts'.
func (second *Second) cores() (leader, followers float64) {
	count := 0
	for index, host := range second.Hosts {
		switch {
		case index == second.Leader:
			leader = host.Cores
		case host.Running:
			followers += host.Cores
			count++
		}
	}
	return leader, followers / float64(max(count, 1))
}
