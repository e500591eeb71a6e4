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

// View draws up what the request path may see from now on.
func (member *Member) View(now time.Time) *view.View {
	drawn := &view.View{
		Version:        member.version,
		LeaseUntil:     member.leaseUntil,
		LeaseRenewedAt: member.renewed,
		Share:          member.share,
		Routing:        member.table,
		ClientAccounts: map[id.ClientAccount]*view.ClientAccount{},
		Tokens:         map[[sha256.Size]byte]id.ClientAccount{},
		Models:         map[id.Model]*view.Set{},
		Services:       map[id.Service]*view.Set{},
		Endpoints:      map[feed.Endpoint]*view.Endpoint{},
	}
	member.drawClientAccounts(drawn)
	stopping := member.stoppingHosts()
	for _, group := range member.groups {
		member.drawGroup(now, drawn, group)
	}
	for _, host := range member.hosts.Members() {
		member.drawService(now, drawn, host, stopping[host.Announcement.Host] == host.Announcement.Incarnation)
	}
	gather(drawn)
	member.drawStop(drawn)
	return drawn
}

// gather sorts the endpoints that take work by what they serve.
func gather(drawn *view.View) {
	models := map[id.Model][]*view.Endpoint{}
	services := map[id.Service][]*view.Endpoint{}
	for _, endpoint := range drawn.Endpoints {
		switch {
		case !endpoint.Accepting:
		case endpoint.Service != "":
			services[endpoint.Service] = append(services[endpoint.Service], endpoint)
		default:
			models[endpoint.Model] = append(models[endpoint.Model], endpoint)
		}
	}
	for model, endpoints := range models {
		drawn.Models[model] = view.NewSet(endpoints)
	}
	for service, endpoints := range services {
		drawn.Services[service] = view.NewSet(endpoints)
	}
}

func (member *Member) drawClientAccounts(drawn *view.View) {
	for clientAccount, record := range member.contracts {
		if record.Retired {
			continue
		}
		drawn.ClientAccounts[clientAccount] = &view.ClientAccount{Contract: record.Contract, Quota: member.offer.QuotaByClientAccount[clientAccount]}
		for _, text := range record.Contract.TokenSHA256 {
			var hash [sha256.Size]byte
			if _, err := hex.Decode(hash[:], []byte(text)); err == nil {
				drawn.Tokens[hash] = clientAccount
			}
		}
	}
}

// stoppingHosts gives the incarnations of hosts that a planned stop covers.
func (member *Member) stoppingHosts() map[id.Host]id.Incarnation {
	stopping := map[id.Host]id.Incarnation{}
	for _, stop := range member.stops {
		for host, incarnation := range stop.Hosts {
			stopping[host] = max(stopping[host], incarnation)
		}
	}
	return stopping
}

// drawGroup adds a group when each of its hosts holds a lease and says that it
// serves in this group with the committed fencing number. A group with a host
// that is leaving finishes its work and takes no more.
func (member *Member) drawGroup(now time.Time, drawn *view.View, group register.GroupRecord) {
	if group.Service != "" {
		member.drawOpened(drawn, group)
		return
	}
	endpoint := &view.Endpoint{
		Name: feed.Endpoint{Group: group.Group}, Model: group.Model, Fencing: group.Fencing,
		Accepting: group.Phase == register.PhaseServing,
	}
	for rank, name := range group.Hosts {
		host, ok := member.hosts.Member(name)
		if !ok || !now.Before(host.Expiry) || !servesIn(&host.Announcement, group) {
			return
		}
		if rank == 0 {
			endpoint.Address = host.Announcement.Address
			endpoint.DataCentre = host.Announcement.DataCentre
			endpoint.Resumes = host.Announcement.Resumes
			endpoint.Load = host.Announcement.Load
			endpoint.Prefixes = host.Announcement.Prefixes
			endpoint.Report = host.Announcement.Sequence
		}
		endpoint.Accepting = endpoint.Accepting && !host.Announcement.Leaving
		if rank == 0 || host.Expiry.Before(endpoint.ValidUntil) {
			endpoint.ValidUntil = host.Expiry
		}
	}
	drawn.Endpoints[endpoint.Name] = endpoint
}

// drawOpened adds a group of engines once its head says that it is open under
// the committed fencing number; the head was told so only after all others were
// ready. The head itself notices a host that it has lost, and control retires
// the group, so that silence towards control alone takes nothing away.
func (member *Member) drawOpened(drawn *view.View, group register.GroupRecord) {
	head, ok := member.hosts.Member(group.Hosts[0])
	serving := head.Announcement.Serving
	if !ok || !serving.Open || serving.Broken || serving.Group != group.Group || serving.Fencing != group.Fencing {
		return
	}
	endpoint := &view.Endpoint{
		Name: feed.Endpoint{Group: group.Group}, Model: group.Model, EngineService: group.Service, Fencing: group.Fencing,
		Host: group.Hosts[0], Address: head.Announcement.Address, DataCentre: head.Announcement.DataCentre,
		Load: head.Announcement.Load, Report: head.Announcement.Sequence,
		Accepting: group.Phase == register.PhaseServing, ValidUntil: member.leaseUntil,
	}
	for _, name := range group.Hosts {
		host, known := member.hosts.Member(name)
		endpoint.Accepting = endpoint.Accepting && (!known || !host.Announcement.Leaving)
	}
	endpoint.RunningElsewhere = member.elsewhere[endpoint.Name]
	endpoint.Stalled = slices.Contains(member.stalled, endpoint.Name)
	drawn.Endpoints[endpoint.Name] = endpoint
}

func servesIn(announcement *roster.Announcement, group register.GroupRecord) bool {
	serving := announcement.Serving
	return serving.Ready && serving.Group == group.Group && serving.Fencing == group.Fencing
}

func (member *Member) drawService(now time.Time, drawn *view.View, host roster.Member, stopping bool) {
	announcement := host.Announcement
	if announcement.Service == "" || announcement.Engine || !now.Before(host.Expiry) {
		return
	}
	endpoint := &view.Endpoint{
		Name: feed.Endpoint{Host: announcement.Host}, Service: announcement.Service, Address: announcement.Address, Host: announcement.Host,
		DataCentre: announcement.DataCentre, Load: announcement.Load, Report: announcement.Sequence,
		Accepting: !stopping && !announcement.Leaving, ValidUntil: host.Expiry,
	}
	endpoint.RunningElsewhere = member.elsewhere[endpoint.Name]
	endpoint.Stalled = slices.Contains(member.stalled, endpoint.Name)
	drawn.Endpoints[endpoint.Name] = endpoint
}

func (member *Member) drawStop(drawn *view.View) {
	for _, stop := range member.stops {
		if stop.Nodes[member.config.Self] != member.config.Incarnation || len(stop.Nodes) == 0 {
			continue
		}
		drawn.Stopping = true
		drawn.StopFinished = drawn.StopFinished || stop.Done
	}
}
