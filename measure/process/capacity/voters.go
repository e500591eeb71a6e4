package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
)

// announcerPoints measures an engine's announcer: the bytes and the processor time
// of encoding a number of announcements, each with 16 prefixes.
func announcerPoints() []Point {
	var points []Point
	announcement := newSystem(1, 1).hosts[0].announcement
	announcement.Prefixes = make([]uint32, 16)
	for index := range announcement.Prefixes {
		announcement.Prefixes[index] = 1<<31 + uint32(index)
	}
	for _, count := range []int{1000, 4000, 16_000} {
		encodedBytes := 0
		startedAt := time.Now()
		for range count {
			announcement.Sequence++
			data, err := json.Marshal(announcement)
			if err != nil {
				panic(err) // an announcement always encodes
			}
			encodedBytes += len(data)
		}
		points = append(
			points,
			Point{"announcer_cpu_by_announcements", float64(count), time.Since(startedAt).Seconds()},
			Point{"announcer_bytes_by_announcements", float64(count), float64(encodedBytes)},
		)
	}
	return points
}

// voterPoints measures the heartbeats between voters in a second in which no entry is
// appended, by the number of voters.
func voterPoints() []Point {
	var points []Point
	for _, count := range []int{3, 5, 7} {
		bytes, cores := runHeartbeats(count)
		points = append(
			points,
			Point{"heartbeat_bytes_by_voters", float64(count), bytes},
			Point{"heartbeat_cpu_by_voters", float64(count), cores},
		)
	}
	return points
}

// runHeartbeats returns the bytes a second and the cores that the given number of
// voters spend together.
func runHeartbeats(count int) (bytes, cores float64) {
	names := make([]id.Node, count)
	for index := range names {
		names[index] = id.Node(fmt.Sprintf("n%d", index))
	}
	quorumByNode := map[id.Node]*quorum.Quorum{}
	for index, name := range names {
		quorumByNode[name] = quorum.New(startTime, quorum.Config{
			Self: name, Voters: names, Timing: quorum.DefaultTiming(), Rand: rand.New(rand.NewPCG(uint64(index), 3)),
		}, quorum.Stored{})
	}
	now := startTime
	for tick := range int((warmUp + measuredTime) / tickInterval) {
		now = now.Add(tickInterval)
		counting := tick >= int(warmUp/tickInterval)
		startedAt := time.Now()
		for _, name := range names {
			size := deliver(now, quorumByNode, quorumByNode[name].Tick(now).Messages)
			if counting {
				bytes += float64(size)
			}
		}
		if counting {
			cores += time.Since(startedAt).Seconds()
		}
	}
	return bytes / measuredTime.Seconds(), cores / measuredTime.Seconds()
}

// deliver passes messages and the replies to them through the codec until none is
// left, and returns their bytes.
func deliver(now time.Time, quorumByNode map[id.Node]*quorum.Quorum, messages []quorum.Message) int {
	bytes := 0
	for len(messages) > 0 {
		data, err := json.Marshal(messages[0])
		if err != nil {
			panic(err) // a message always encodes
		}
		bytes += len(data)
		var message quorum.Message
		if err := json.Unmarshal(data, &message); err != nil {
			panic(err)
		}
		messages = append(messages[1:], quorumByNode[message.To].Step(now, quorum.Receive{Message: message}).Messages...)
	}
	return bytes
}
