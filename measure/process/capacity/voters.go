package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
)

// announcerPoints measures an engine's announcer: bytes and processor time of a
// number of announcements.
func announcerPoints() []Point {
	var points []Point
	announcement := newSystem(1, 1).hosts[0].announcement
	announcement.Prefixes = make([]uint32, 16)
	for index := range announcement.Prefixes {
		announcement.Prefixes[index] = 1<<31 + uint32(index)
	}
	for _, count := range []int{1000, 4000, 16_000} {
		bytes := 0
		began := time.Now()
		for range count {
			announcement.Sequence++
			data, err := json.Marshal(announcement)
			if err != nil {
				panic(err) // an announcement always encodes
			}
			bytes += len(data)
		}
		points = append(
			points,
			Point{"announcer_cpu_by_announcements", float64(count), time.Since(began).Seconds()},
			Point{"announcer_bytes_by_announcements", float64(count), float64(bytes)},
		)
	}
	return points
}

// voterPoints measures what voters say to each other in a second without any
// change, by the number of voters.
func voterPoints() []Point {
	var points []Point
	for _, count := range []int{3, 5, 7} {
		bytes, cores := runVoters(count)
		points = append(
			points,
			Point{"heartbeat_bytes_by_voters", float64(count), bytes},
			Point{"heartbeat_cpu_by_voters", float64(count), cores},
		)
	}
	return points
}

// runVoters gives the bytes and the seconds of a core that all voters together
// spend in a second.
func runVoters(count int) (bytes, cores float64) {
	names := make([]id.Node, count)
	for index := range names {
		names[index] = id.Node(fmt.Sprintf("n%d", index))
	}
	voters := map[id.Node]*quorum.Quorum{}
	for index, name := range names {
		voters[name] = quorum.New(start, quorum.Config{
			Self: name, Voters: names, Timing: quorum.DefaultTiming(), Rand: rand.New(rand.NewPCG(uint64(index), 3)),
		}, quorum.Stored{})
	}
	now := start
	for tick := range int((warmUp + measured) / tickEvery) {
		now = now.Add(tickEvery)
		counts := tick >= int(warmUp/tickEvery)
		began := time.Now()
		for _, name := range names {
			size := deliver(now, voters, voters[name].Tick(now).Messages)
			if counts {
				bytes += float64(size)
			}
		}
		if counts {
			cores += time.Since(began).Seconds()
		}
	}
	return bytes / measured.Seconds(), cores / measured.Seconds()
}

// deliver carries messages and their answers through the codec until none is
// left, and counts their bytes.
func deliver(now time.Time, voters map[id.Node]*quorum.Quorum, messages []quorum.Message) int {
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
		messages = append(messages[1:], voters[message.To].Step(now, quorum.Receive{Message: message}).Messages...)
	}
	return bytes
}
