// Package hostapi handles the announcements of the hosts that run engines and
// services, and sends orders to these hosts.
//
// # Usage
//
//	handler := hostapi.New(loop, credentials, intake).Handler()
//	err := hostapi.SendOrder(ctx, client, order)
package hostapi

import (
	"context"
	"net/http"
	"time"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/step"
)

const (
	bodyBytes = 64 << 10
	// maxPrefixes bounds the cached prefixes that one host may announce.
	maxPrefixes = 16
	// minLease and maxLease bound the lease that a host may ask for.
	minLease = 500 * time.Millisecond
	maxLease = time.Minute
)

// Announce is the body of an announcement request. Echo is the latest clock
// stamp that this entry host sent to the announcing host.
type Announce struct {
	Announcement roster.Announcement `json:"announcement"`
	Echo         clock.Stamp         `json:"echo,omitzero"`
}

// API handles announcements of hosts.
type API struct {
	control     *control.Control
	credentials []rest.Credential
	intake      rest.Intake
}

// New returns an API that accepts the given credentials of announcing hosts and reads their announcements with intake.
func New(control *control.Control, credentials []rest.Credential, intake rest.Intake) *API {
	return &API{control: control, credentials: credentials, intake: intake}
}

// Handler returns the HTTP handler of the hosts' listener.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /announce/v1/hosts", rest.Handle(api.intake, bodyBytes, api.announce))
	return rest.Require(api.credentials, mux)
}

func (api *API) announce(ctx context.Context, announce Announce) (member.AnnouncementReply, error) {
	if field, allowed := firstInvalidField(&announce.Announcement); field != "" {
		return member.AnnouncementReply{}, rest.NotRun(http.StatusBadRequest, "bad_announcement", "field announcement."+field+": want "+allowed)
	}
	if err := announce.Announcement.Validate(); err != nil {
		return member.AnnouncementReply{}, rest.NotRun(http.StatusBadRequest, "bad_announcement", err.Error())
	}
	reply, err := api.control.Announce(ctx, announce.Announcement, announce.Echo)
	if err != nil {
		return reply, rest.Unknown(http.StatusServiceUnavailable, "unavailable", err.Error())
	}
	return reply, nil
}

// firstInvalidField returns the first field of an announcement that is missing or beyond
// what a host may ask for, and what is allowed there. The field is empty when there is
// none.
func firstInvalidField(announcement *roster.Announcement) (field, allowed string) {
	checks := []struct {
		ok             bool
		field, allowed string
	}{
		{announcement.Host != "", "host", "a name"},
		{announcement.Incarnation > 0, "incarnation", "a number that rises with each start"},
		{announcement.Sequence > 0, "sequence", "a number that rises with each announcement"},
		{announcement.DataCentre != "", "data_centre", "a name"},
		{announcement.Service != "" || announcement.Domain != "", "domain", "a name, for a host of an engine"},
		{(announcement.Service != "") != (len(announcement.Models) > 0), "models", "models or a service, one of the two"},
		{len(announcement.Prefixes) <= maxPrefixes, "prefixes", "16 at most"},
		{announcement.Accelerators >= 0, "accelerators", "0 or more"},
		{announcement.LeaseMS >= minLease.Milliseconds() && announcement.LeaseMS <= maxLease.Milliseconds(), "lease_ms", "500 to 60000"},
	}
	for _, check := range checks {
		if !check.ok {
			return check.field, check.allowed
		}
	}
	return "", ""
}

// SendOrder sends an order of the controller to a host.
func SendOrder(ctx context.Context, client *rest.Client, order action.Order) error {
	err := client.Send(ctx, http.MethodPost, "http://"+order.Address, "/engine/v1/orders", order, nil)
	return step.Wrap(err, "order %s to %s", order.Kind, order.Host)
}
