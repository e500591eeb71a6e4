package controller

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// Overview is what a leader holds of the whole system, for operators.
type Overview struct {
	Leader    id.Node                   `json:"leader"`
	Quorum    quorum.Status             `json:"quorum"`
	Version   id.Version                `json:"version"`
	Nodes     []NodeOverview            `json:"nodes"`
	Groups    []GroupOverview           `json:"groups"`
	Hosts     []HostOverview            `json:"hosts"`
	Contracts []register.ContractRecord `json:"contracts"`
	Stops     []register.StopRecord     `json:"stops"`
	Blocks    []register.PartsBlock     `json:"parts_blocks,omitempty"`
	// Evacuations are the evacuated data centres.
	Evacuations register.Evacuations `json:"evacuations,omitzero"`
}

// NodeOverview is one node in an overview.
type NodeOverview struct {
	Node    id.Node    `json:"node"`
	Live    bool       `json:"live"`
	Version id.Version `json:"version"`
	Calls   int        `json:"calls"`
	Drained bool       `json:"drained"`
}

// GroupOverview is one group in an overview.
type GroupOverview struct {
	register.GroupRecord
	Ready   bool      `json:"ready"`
	Missing []id.Host `json:"missing,omitempty"`
}

// HostOverview is one host in an overview.
type HostOverview struct {
	Announcement roster.Announcement `json:"announcement"`
	Live         bool                `json:"live"`
	Group        id.Group            `json:"group,omitempty"`
	// Unfreed is set on a host that has left a group and can't be assigned yet.
	Unfreed bool `json:"unfreed,omitempty"`
}

// Audit is a part of the audit trail.
type Audit struct {
	Entries []register.AuditEntry `json:"entries"`
}

// Overview returns what the leader holds of the system. It may be called only
// while HoldsLeaderLease is true: the node and host states are the leader's.
func (controller *Controller) Overview(now time.Time) Overview {
	overview := Overview{
		Leader: controller.config.Self, Quorum: controller.quorum.Status(), Version: controller.register.Version(),
		Contracts: controller.register.Contracts(), Stops: controller.register.Stops(), Blocks: controller.register.Blocks().Blocks,
		Evacuations: controller.register.Evacuations(),
	}
	for _, name := range sortedKeys(controller.leadership.stateByNode) {
		node := controller.leadership.stateByNode[name]
		overview.Nodes = append(overview.Nodes, NodeOverview{
			Node: name, Live: node.incarnation > 0 && now.Before(node.leaseExpiryBound),
			Version: node.version, Calls: node.totalCalls, Drained: node.drained,
		})
	}
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseRetired {
			continue
		}
		overview.Groups = append(overview.Groups, GroupOverview{
			GroupRecord: group, Ready: controller.inventory().Ready(now, group), Missing: controller.inventory().Missing(now, group),
		})
	}
	releasing := controller.register.Unfreed()
	for _, member := range controller.roster.Members() {
		group, _ := controller.register.GroupOf(member.Announcement.Host)
		_, notFreed := releasing[member.Announcement.Host]
		overview.Hosts = append(overview.Hosts, HostOverview{
			Announcement: member.Announcement, Live: member.Live(now), Group: group, Unfreed: notFreed,
		})
	}
	return overview
}

// LeaderLeaseUntil returns when this voter's lease as leader expires.
func (controller *Controller) LeaderLeaseUntil(now time.Time) time.Time {
	return controller.quorum.LeaseUntil(now)
}
