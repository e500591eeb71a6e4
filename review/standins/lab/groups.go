package lab

import (
	"fmt"
	"time"
)

func (system *System) addEngine(engine *Engine) {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.engines[engine.ID] = engine
}

// headOf returns the head of a group.
func (system *System) headOf(group *membership) *Engine {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	return system.engines[group.members[0]]
}

// holds reports whether the engine is the head of a group that is open or closing. One that stands
// still says so until it is broken.
func (engine *Engine) holds(group *membership) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	own := engine.group
	return !engine.ended && own != nil && own.Rank == 0 && own.Name == group.Name && own.Epoch == group.Epoch && (own.State == "open" || own.State == "closing")
}

// checkTwo notes a join by which an engine leaves a group whose head isn't done.
func (system *System) checkTwo(engine *Engine, left *membership, joined string) {
	head := system.headOf(left)
	if head == nil || head == engine || !head.holds(left) {
		return
	}
	_, state, _ := head.Group()
	text := fmt.Sprintf("%s takes a join of %s while the head %s of its group %s (epoch %d) is %s", engine.ID, joined, head.ID, left.Name, left.Epoch, state)
	system.Record.Printf("%s", text)
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.joinedWhileOpen = append(system.joinedWhileOpen, text)
}

// JoinedWhileOpen lists the joins that no engine should have been ordered to.
func (system *System) JoinedWhileOpen() []string {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	return append([]string{}, system.joinedWhileOpen...)
}

// memberLost breaks the group of an engine that has left it, once its head has waited for the
// engine for the time of the sheet.
func (system *System) memberLost(engine *Engine, left *membership) {
	if left == nil {
		return
	}
	head := system.headOf(left)
	if head == nil || head == engine {
		return
	}
	time.AfterFunc(StallTime, func() {
		head.mutex.Lock()
		defer head.mutex.Unlock()
		own := head.group
		if own != nil && own.Name == left.Name && own.Epoch == left.Epoch && own.State != "broken" {
			own.State = "broken"
			head.notify()
		}
	})
}
