package fleet

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// openGroup names a group as its head announces it.
type openGroup struct {
	group   id.Group
	fencing id.FencingToken
}

// openHeads returns the head of each open group, by what the heads announce.
func (fleet *Fleet) openHeads(now time.Time) map[openGroup]*roster.Member {
	if fleet.openHeadByGroup != nil {
		return fleet.openHeadByGroup
	}
	fleet.openHeadByGroup = map[openGroup]*roster.Member{}
	for _, host := range fleet.state.Roster.Members() {
		if serving := host.Announcement.Serving; serving.Open && !serving.Broken && now.Before(host.Expiry) {
			fleet.openHeadByGroup[openGroup{serving.Group, serving.Fencing}] = host
		}
	}
	return fleet.openHeadByGroup
}

// leftOpenGroup reports whether a host is in no open group but the named one, so that it
// may be ordered to join that. A group whose hosts were freed may be open again: its head
// may carry out late what it was ordered before it left. The head is then ordered to leave
// once more.
func (fleet *Fleet) leftOpenGroup(now time.Time, actions *Actions, host *roster.Member, group id.Group) bool {
	serving := host.Announcement.Serving
	head, open := fleet.openHeads(now)[openGroup{serving.Group, serving.Fencing}]
	if !open || serving.Group == group {
		return true
	}
	left := register.GroupRecord{Group: serving.Group, Fencing: serving.Fencing, Hosts: []id.Host{head.Announcement.Host}}
	fleet.sendOrder(now, actions, head, left, action.OrderUnload)
	return false
}
