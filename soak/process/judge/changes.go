package judge

import (
	"fmt"
	"net/http"
)

// judgeChanges looks at the contract whose tokens change, by the calls that bore one and by
// what operators read.
func judgeChanges(records Records) []Broken {
	var found []Broken
	for index := range records.Calls {
		call := &records.Calls[index]
		if call.Generation == 0 {
			continue
		}
		if broken := judgeToken(call, records.Changes); broken != "" {
			found = append(found, Broken{InForce, describe(call) + ": " + broken})
		}
	}
	for _, read := range records.Reads {
		for index := range records.Changes {
			if broken := judgeRead(read, &records.Changes[index]); broken != "" {
				found = append(found, Broken{Stays, broken})
			}
		}
	}
	return found
}

// judgeToken checks a call against the changes that may have been in force during it:
// the last one that was in force when the call was sent, and all later ones that were sent
// before it ended.
func judgeToken(call *Call, changes []Change) string {
	accepted, rejected := call.Status == http.StatusOK, call.Status == http.StatusUnauthorized
	first := -1
	for index, change := range changes {
		if change.InForce && !change.Conflict && change.AckedAt.Before(call.SentAt) {
			first = index
		}
	}
	if first < 0 || !accepted && !rejected {
		return ""
	}
	for _, change := range changes[first:] {
		possible := !change.Conflict && change.SentAt.Before(call.EndedAt)
		if possible && (change.Generation == call.Generation) == accepted {
			return ""
		}
	}
	return fmt.Sprintf("token %d got status %d, though the change to %d was in force", call.Generation, call.Status, changes[first].Generation)
}

// judgeRead checks what operators read against one acknowledged change.
func judgeRead(read Read, change *Change) string {
	switch {
	case read.Revision == 0 && read.Generation < 0, change.AckedAt.IsZero(), change.Conflict, read.SentAt.Before(change.AckedAt):
		return ""
	case read.Revision < change.Revision:
		return fmt.Sprintf("revision %d was read after revision %d was acknowledged", read.Revision, change.Revision)
	case read.Revision == change.Revision && read.Generation != change.Generation:
		return fmt.Sprintf("revision %d has token %d, acknowledged with %d", read.Revision, read.Generation, change.Generation)
	}
	return ""
}

// judgeStops looks for stops that were forgotten, and for calls that were sent after a stop of a
// host of a service was in force and ran there all the same.
func judgeStops(records Records) []Broken {
	var found []Broken
	for _, stop := range records.Stops {
		for _, read := range records.Reads {
			if read.StopNames != nil && read.SentAt.After(stop.AckedAt) && !read.StopNames[stop.Name] {
				found = append(found, Broken{Stays, fmt.Sprintf("stop %s of %s isn't listed any more", stop.Name, stop.Target)})
				break
			}
		}
	}
	runsByID := map[string][]Run{}
	for _, run := range records.Runs {
		if run.Incarnation != 0 {
			runsByID[run.RequestID] = append(runsByID[run.RequestID], run)
		}
	}
	for index := range records.Calls {
		call := &records.Calls[index]
		for _, run := range runsByID[call.RequestID] {
			if stop, stopped := stopOf(run, call, records.Stops); stopped {
				found = append(found, Broken{InForce, fmt.Sprintf("%s: ran at %s, which stop %s had stopped", describe(call), run.Host, stop.Name)})
			}
		}
	}
	return found
}

// stopOf returns a stop of a run's host that was in force before the call was sent.
func stopOf(run Run, call *Call, stops []Stop) (Stop, bool) {
	for _, stop := range stops {
		if stop.InForce && stop.Incarnation == run.Incarnation && stop.Target == run.Host && stop.AckedAt.Before(call.SentAt) {
			return stop, true
		}
	}
	return Stop{}, false
}
