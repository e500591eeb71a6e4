// Package operator is the operators' protocol: its messages and a client that
// tries one entry host after another.
//
// # Usage
//
//	client := operator.New(entries, rest.NewClient(httpClient, token))
//	outcome, err := client.Apply(ctx, operator.ApplyRequest{...})
package operator

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Client calls the operators' interface of any entry host.
type Client struct {
	entries []string
	client  *rest.Client
}

// New returns a client of entry hosts, given by their base URLs.
func New(entries []string, client *rest.Client) *Client {
	return &Client{entries: entries, client: client}
}

// Apply creates or changes a contract.
func (client *Client) Apply(ctx context.Context, request ApplyRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/contracts", request)
}

// Retire ends a contract.
func (client *Client) Retire(ctx context.Context, request RetireRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/contracts/retire", request)
}

// Stop asks for a planned stop.
func (client *Client) Stop(ctx context.Context, request StopRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/stops", request)
}

// SetVoters asks for a new set of voters. A resend of the same set changes
// nothing.
func (client *Client) SetVoters(ctx context.Context, request VotersRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/voters", request)
}

// Contracts lists all contracts.
func (client *Client) Contracts(ctx context.Context) (ContractList, error) {
	var list ContractList
	err := client.read(ctx, "/operator/v1/contracts", &list)
	return list, err
}

// Stops lists all planned stops.
func (client *Client) Stops(ctx context.Context) (StopList, error) {
	var list StopList
	err := client.read(ctx, "/operator/v1/stops", &list)
	return list, err
}

// Status tells what the leader knows of the whole system.
func (client *Client) Status(ctx context.Context) (controller.Overview, error) {
	var overview controller.Overview
	err := client.read(ctx, "/operator/v1/status", &overview)
	return overview, err
}

// Audit lists audit entries after an index, oldest first.
func (client *Client) Audit(ctx context.Context, after id.Index) (controller.Audit, error) {
	var audit controller.Audit
	err := client.read(ctx, fmt.Sprintf("/operator/v1/audit?after=%d", after), &audit)
	return audit, err
}

// change sends a change to one entry host after another. The change's id makes
// it safe to send it again when an answer was lost.
func (client *Client) change(ctx context.Context, path string, body any) (controller.Outcome, error) {
	var outcome controller.Outcome
	err := client.each(func(entry string) error {
		return client.client.Send(ctx, http.MethodPost, entry, path, body, &outcome)
	})
	return outcome, err
}

func (client *Client) read(ctx context.Context, path string, answer any) error {
	return client.each(func(entry string) error { return client.client.Get(ctx, entry, path, answer) })
}

// each tries entry hosts until one answers. A refusal is an answer.
func (client *Client) each(try func(entry string) error) error {
	var last error
	for _, entry := range client.entries {
		last = try(entry)
		var refused *rest.Error
		if last == nil || (errors.As(last, &refused) && refused.Status < http.StatusInternalServerError) {
			return last
		}
	}
	return errors.Wrap(last, "no entry host answered")
}
