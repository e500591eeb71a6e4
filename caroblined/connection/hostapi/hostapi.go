// Package hostapi serves the hosts of engines and services, which announce
// themselves, and sends them orders.
//
// # Usage
//
//	handler := hostapi.New(loop, credentials).Handler()
//	err := hostapi.Order(ctx, client, order)
package hostapi

import (
	"context"
	"net"
	"net/http"
	"time"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/step"
)

const (
	bodyBytes = 64 << 10
	// mostPrefixes bounds what one host tells of its cache.
	mostPrefixes = 16
	// shortestLease and longestLease bound what a host may ask for.
	shortestLease = 500 * time.Millisecond
	longestLease  = time.Minute
)

// Announce is the body of an announcement: what the host says, and the last
// stamp that this entry host gave it.
type Announce struct {
	Announcement roster.Announcement `json:"announcement"`
	Echo         clock.Stamp         `json:"echo,omitzero"`
}

// API serves announcements.
type API struct {
	control     *control.Control
	credentials []rest.Credential
}

// New returns the API for holders of announcers' tokens.
func New(control *control.Control, credentials []rest.Credential) *API {
	return &API{control: control, credentials: credentials}
}

// Handler returns the handler of the hosts' listener.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /announce/v1/hosts", rest.Handle(bodyBytes, api.announce))
	return rest.Require(api.credentials, mux)
}

func (api *API) announce(ctx context.Context, announce Announce) (member.AnnouncementReply, error) {
	if field, allowed := problem(&announce.Announcement); field != "" {
		return member.AnnouncementReply{}, rest.NotRun(http.StatusBadRequest, "bad_announcement", "field announcement."+field+": want "+allowed)
	}
	welcome, err := api.control.Announce(ctx, announce.Announcement, announce.Echo)
	if err != nil {
		return welcome, rest.Unknown(http.StatusServiceUnavailable, "unavailable", err.Error())
	}
	return welcome, nil
}

// problem names the first field at fault and what is allowed.
func problem(announcement *roster.Announcement) (field, allowed string) {
	host, _, err := net.SplitHostPort(announcement.Address)
	checks := []struct {
		ok             bool
		field, allowed string
	}{
		{announcement.Host != "", "host", "a name"},
		{announcement.Incarnation > 0, "incarnation", "a number that rises with each start"},
		{announcement.Sequence > 0, "sequence", "a number that rises with each announcement"},
		{err == nil && net.ParseIP(host) != nil, "address", "an IP number and a port"},
		{announcement.DataCentre != "", "data_centre", "a name"},
		{announcement.Service != "" || announcement.Domain != "", "domain", "a name, for a host of an engine"},
		{(announcement.Service != "") != (len(announcement.Models) > 0), "models", "models or a service, one of the two"},
		{len(announcement.Prefixes) <= mostPrefixes, "prefixes", "16 at most"},
		{announcement.Accelerators >= 0, "accelerators", "0 or more"},
		{announcement.Lease() >= shortestLease && announcement.Lease() <= longestLease, "lease_ms", "500 to 60000"},
	}
	for _, check := range checks {
		if !check.ok {
			return check.field, check.allowed
		}
	}
	return "", ""
}

// SendOrder sends an order to a host.
func SendOrder(ctx context.Context, client *rest.Client, order controller.Order) error {
	err := client.Send(ctx, http.MethodPost, "http://"+order.Address, "/engine/v1/orders", order, nil)
	return step.Wrap(err, "order %s to %s", order.Kind, order.Host)
}
