package engines

import (
	"math/rand/v2"
	"time"

	"carobline.dev/core/id"
)

// Lose makes up to count engines that are in a group fail for good, and returns how many
// did.
func (fleet *Fleet) Lose(now time.Time, count int) int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	lost := 0
	for _, index := range rand.Perm(len(fleet.engines)) {
		if engine := fleet.engines[index]; lost < count && !engine.failed && engine.state != stateFree {
			fleet.lose(now, engine)
			lost++
		}
	}
	return lost
}

// lose makes one engine fail. The head of its group detects it, and a new engine
// takes its place later.
func (fleet *Fleet) lose(now time.Time, lost *engine) {
	lost.failed = true
	fleet.replacements = append(fleet.replacements, replacement{at: now.Add(replaceTime), domain: lost.domain})
	broken := assignment{lost.order.Group, lost.order.Fencing}
	if _, known := fleet.memberLostAt[broken]; !known {
		fleet.memberLostAt[broken] = now
	}
	for _, engine := range fleet.engines {
		if !engine.failed && engine.head() && engine.inGroup(broken.group, broken.fencing) {
			engine.memberLost(now)
		}
	}
}

// Stalled reports whether calls of a group make no progress, since it has lost a member.
func (fleet *Fleet) Stalled(now time.Time, group id.Group, fencing id.FencingToken) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	lostAt, lost := fleet.memberLostAt[assignment{group, fencing}]
	return lost && now.Sub(lostAt) > stallTime
}

// Sample returns the open groups, and counts what has happened since it was last called.
func (fleet *Fleet) Sample() Sample {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	sample := fleet.sample
	fleet.sample = Sample{}
	for _, engine := range fleet.engines {
		_, memberLost := fleet.memberLostAt[assignment{engine.order.Group, engine.order.Fencing}]
		if engine.head() && engine.state == stateOpen && !engine.failed && !memberLost {
			sample.OpenGroups++
		}
	}
	return sample
}
