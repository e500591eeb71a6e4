package fleet

import (
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// evacuated reports whether a host's data centre is evacuated. Such hosts aren't planned with
// and get no orders but those to leave a retired group.
func (fleet *Fleet) evacuated(host *roster.Member) bool {
	return fleet.evacuations.Covers(host.Announcement.DataCentre)
}

// groupEvacuated reports whether the data centre of a group, which is that of its first known
// host, is evacuated. The group stays as it is, unless it breaks.
func (fleet *Fleet) groupEvacuated(group register.GroupRecord) bool {
	if len(fleet.evacuations.DataCentres) == 0 {
		return false
	}
	for _, name := range group.Hosts {
		if host, known := fleet.state.Roster.Member(name); known {
			return fleet.evacuated(host)
		}
	}
	return false
}
