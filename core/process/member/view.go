package member

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

// View builds the view that the request path uses from now on.
func (member *Member) View(now time.Time) *view.View {
	built := &view.View{
		Version:                  member.version,
		LeaseUntil:               member.leaseUntil,
		LeaseRenewedAt:           member.leaseRenewedAt,
		Share:                    member.counts.share,
		Routing:                  member.routingTable,
		RoutingDelay:             member.routingDelay,
		Blocks:                   member.blocks,
		SuspectParts:             member.suspectParts,
		EvacuatedDataCentres:     member.evacuations.DataCentres,
		EvacuatedModels:          map[id.Model]bool{},
		EvacuatedServices:        map[id.Service]bool{},
		ClientAccounts:           map[id.ClientAccount]*view.ClientAccount{},
		ClientAccountByTokenHash: map[[sha256.Size]byte]id.ClientAccount{},
		Models:                   map[id.Model]*view.Set{},
		Services:                 map[id.Service]*view.Set{},
		Endpoints:                map[feed.Endpoint]*view.Endpoint{},
	}
	member.setStopState(built)
	if member.config.ControlOnly {
		return built
	}
	member.addClientAccounts(built)
	member.addEndpoints(now, built)
	indexEndpoints(built)
	return built
}

// addEndpoints adds the groups and the hosts of plain services.
func (member *Member) addEndpoints(now time.Time, built *view.View) {
	stopping := member.stoppingIncarnationByHost()
	for _, group := range member.groupByID {
		member.addGroup(now, built, group)
	}
	for _, host := range member.hosts.Members() {
		member.addServiceHost(now, built, host, stopping[host.Announcement.Host] == host.Announcement.Incarnation)
	}
	if len(built.EvacuatedDataCentres) > 0 {
		markEvacuated(built)
	}
}

// markEvacuated lets the endpoints of evacuated data centres accept no new work, and notes
// which models and services have any.
func markEvacuated(built *view.View) {
	for _, endpoint := range built.Endpoints {
		if !built.Evacuated(endpoint.DataCentre) {
			continue
		}
		endpoint.Accepting = false
		if endpoint.Service != "" {
			built.EvacuatedServices[endpoint.Service] = true
		} else {
			built.EvacuatedModels[endpoint.Model] = true
		}
	}
}

// indexEndpoints adds the endpoints that accept work to the sets of the models and
// services that they serve.
func indexEndpoints(built *view.View) {
	models := map[id.Model][]*view.Endpoint{}
	services := map[id.Service][]*view.Endpoint{}
	for _, endpoint := range built.Endpoints {
		switch {
		case !endpoint.Accepting:
		case endpoint.Service != "":
			services[endpoint.Service] = append(services[endpoint.Service], endpoint)
		default:
			models[endpoint.Model] = append(models[endpoint.Model], endpoint)
		}
	}
	for model, endpoints := range models {
		built.Models[model] = view.NewSet(endpoints)
	}
	for service, endpoints := range services {
		built.Services[service] = view.NewSet(endpoints)
	}
}

// addClientAccounts adds the contracts in force, with their quotas and token
// hashes.
func (member *Member) addClientAccounts(built *view.View) {
	for clientAccount, record := range member.contractByClientAccount {
		if record.Retired {
			continue
		}
		built.ClientAccounts[clientAccount] = &view.ClientAccount{Contract: record.Contract, Quota: member.grant.QuotaByClientAccount[clientAccount]}
		for _, text := range record.Contract.TokenSHA256 {
			var hash [sha256.Size]byte
			if _, err := hex.Decode(hash[:], []byte(text)); err == nil {
				built.ClientAccountByTokenHash[hash] = clientAccount
			}
		}
	}
}

// stoppingIncarnationByHost returns the hosts that a planned stop covers, each
// with the latest incarnation that one names.
func (member *Member) stoppingIncarnationByHost() map[id.Host]id.Incarnation {
	stopping := map[id.Host]id.Incarnation{}
	for _, stop := range member.stopByID {
		for host, incarnation := range stop.IncarnationByHost {
			stopping[host] = max(stopping[host], incarnation)
		}
	}
	return stopping
}

// addGroup adds a group if each of its hosts holds a lease and reports that it is
// ready in this group under the committed fencing token. A group with a host that
// is leaving finishes its work and accepts no more.
func (member *Member) addGroup(now time.Time, built *view.View, group register.GroupRecord) {
	if group.Service != "" {
		member.addEngineGroup(built, group)
		return
	}
	endpoint := &view.Endpoint{
		Name: feed.Endpoint{Group: group.Group}, Model: group.Model, Fencing: group.Fencing,
		Accepting: group.Phase == register.PhaseServing,
	}
	for rank, name := range group.Hosts {
		host, ok := member.hosts.Member(name)
		if !ok || !now.Before(host.Expiry) || !isReadyFor(&host.Announcement, group) {
			return
		}
		if rank == 0 {
			endpoint.Host, endpoint.Incarnation = name, host.Announcement.Incarnation
			endpoint.Address = host.Announcement.Address
			endpoint.DataCentre = host.Announcement.DataCentre
			endpoint.Resumes = host.Announcement.Resumes
			endpoint.Load = host.Announcement.Load
			endpoint.Prefixes = host.Announcement.Prefixes
			endpoint.AnnouncementSequence = host.Announcement.Sequence
		}
		endpoint.Accepting = endpoint.Accepting && !host.Announcement.Leaving
		if rank == 0 || host.Expiry.Before(endpoint.ValidUntil) {
			endpoint.ValidUntil = host.Expiry
		}
	}
	built.Endpoints[endpoint.Name] = endpoint
}

// addEngineGroup adds a group of engines once its head reports that it is open
// under the committed fencing token; the head is ordered to open only when all
// other hosts are ready. The leases of the hosts aren't checked here, so that a
// group whose hosts only fail to reach the control plane stays available. The head
// itself notices when it loses a host, and the controller then retires the group.
func (member *Member) addEngineGroup(built *view.View, group register.GroupRecord) {
	head, ok := member.hosts.Member(group.Hosts[0])
	serving := head.Announcement.Serving
	if !ok || !serving.Open || serving.Broken || serving.Group != group.Group || serving.Fencing != group.Fencing {
		return
	}
	endpoint := &view.Endpoint{
		Name: feed.Endpoint{Group: group.Group}, Model: group.Model, EngineService: group.Service, Fencing: group.Fencing,
		Host: group.Hosts[0], Incarnation: head.Announcement.Incarnation, Address: head.Announcement.Address, DataCentre: head.Announcement.DataCentre,
		Load: head.Announcement.Load, AnnouncementSequence: head.Announcement.Sequence,
		Accepting: group.Phase == register.PhaseServing, ValidUntil: member.leaseUntil,
	}
	for _, name := range group.Hosts {
		host, known := member.hosts.Member(name)
		endpoint.Accepting = endpoint.Accepting && (!known || !host.Announcement.Leaving)
	}
	endpoint.RunningElsewhere = member.counts.runningByEndpoint[endpoint.Name]
	endpoint.Stalled = slices.Contains(member.stalledEndpoints, endpoint.Name)
	endpoint.Cold = member.cold(group.Service, endpoint.Name, head)
	built.Endpoints[endpoint.Name] = endpoint
}

// isReadyFor reports whether a host has the group's weights loaded and serves in
// the group under the committed fencing token.
func isReadyFor(announcement *roster.Announcement, group register.GroupRecord) bool {
	serving := announcement.Serving
	return serving.Ready && serving.Group == group.Group && serving.Fencing == group.Fencing
}

// addServiceHost adds a host of a plain service while its lease lasts. Hosts of
// engines are added with their groups.
func (member *Member) addServiceHost(now time.Time, built *view.View, host *roster.Member, stopping bool) {
	announcement := &host.Announcement
	if announcement.Service == "" || announcement.Engine || !now.Before(host.Expiry) {
		return
	}
	endpoint := &view.Endpoint{
		Name: feed.Endpoint{Host: announcement.Host}, Service: announcement.Service, Address: announcement.Address, Host: announcement.Host, Incarnation: announcement.Incarnation,
		DataCentre: announcement.DataCentre, Load: announcement.Load, AnnouncementSequence: announcement.Sequence,
		Accepting: !stopping && !announcement.Leaving, ValidUntil: host.Expiry,
	}
	endpoint.RunningElsewhere = member.counts.runningByEndpoint[endpoint.Name]
	endpoint.Stalled = slices.Contains(member.stalledEndpoints, endpoint.Name)
	endpoint.Cold = member.cold(announcement.Service, endpoint.Name, host)
	built.Endpoints[endpoint.Name] = endpoint
}

// setStopState sets whether a planned stop covers this incarnation of the node,
// and whether the stop is finished.
func (member *Member) setStopState(built *view.View) {
	for _, stop := range member.stopByID {
		if stop.IncarnationByNode[member.config.Self] != member.config.Incarnation || len(stop.IncarnationByNode) == 0 {
			continue
		}
		built.Stopping = true
		built.StopFinished = built.StopFinished || stop.Done
	}
}
