// Package operator is the operators' protocol: its messages and a client that
// tries one entry host after another.
//
// # Usage
//
//	client := operator.New(baseURLs, rest.NewClient(httpClient, token))
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

// Client calls the operators' interface of the first entry host that answers.
type Client struct {
	baseURLs []string
	client   *rest.Client
}

// New returns a client of the entry hosts with the given base URLs, which
// are tried in order.
func New(baseURLs []string, client *rest.Client) *Client {
	return &Client{baseURLs: baseURLs, client: client}
}

// Apply creates or changes a contract.
func (client *Client) Apply(ctx context.Context, request ApplyRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/contracts", request)
}

// Retire ends a contract.
func (client *Client) Retire(ctx context.Context, request RetireRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/contracts/retire", request)
}

// Stop requests a planned stop.
func (client *Client) Stop(ctx context.Context, request StopRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/stops", request)
}

// EndBlock ends a block of parts of prompts.
func (client *Client) EndBlock(ctx context.Context, request EndBlockRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/blocks/end", request)
}

// Blocks returns the blocks of parts of prompts.
func (client *Client) Blocks(ctx context.Context) (BlockList, error) {
	var list BlockList
	err := client.read(ctx, "/operator/v1/blocks", &list)
	return list, err
}

// StartEvacuation requests that the endpoints of a data centre get no more calls.
func (client *Client) StartEvacuation(ctx context.Context, request EvacuationRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/evacuations/start", request)
}

// FinishEvacuation withdraws such a request.
func (client *Client) FinishEvacuation(ctx context.Context, request EvacuationRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/evacuations/finish", request)
}

// Evacuations returns the evacuated data centres.
func (client *Client) Evacuations(ctx context.Context) (EvacuationList, error) {
	var list EvacuationList
	err := client.read(ctx, "/operator/v1/evacuations", &list)
	return list, err
}

// SetVoters requests a new set of voters. A resend of the same set changes
// nothing.
func (client *Client) SetVoters(ctx context.Context, request VotersRequest) (controller.Outcome, error) {
	return client.change(ctx, "/operator/v1/voters", request)
}

// Contracts returns all contracts.
func (client *Client) Contracts(ctx context.Context) (ContractList, error) {
	var list ContractList
	err := client.read(ctx, "/operator/v1/contracts", &list)
	return list, err
}

// Stops returns all planned stops.
func (client *Client) Stops(ctx context.Context) (StopList, error) {
	var list StopList
	err := client.read(ctx, "/operator/v1/stops", &list)
	return list, err
}

// Status returns the leader's overview of the whole system.
func (client *Client) Status(ctx context.Context) (controller.Overview, error) {
	var overview controller.Overview
	err := client.read(ctx, "/operator/v1/status", &overview)
	return overview, err
}

// Audit returns the audit entries after a log index, oldest first.
func (client *Client) Audit(ctx context.Context, after id.Index) (controller.Audit, error) {
	var audit controller.Audit
	err := client.read(ctx, fmt.Sprintf("/operator/v1/audit?after=%d", after), &audit)
	return audit, err
}

// change sends a change to one entry host after another until one answers. The
// change's id makes a resend safe when an answer was lost.
func (client *Client) change(ctx context.Context, path string, body any) (controller.Outcome, error) {
	var outcome controller.Outcome
	err := client.tryEach(func(baseURL string) error {
		return client.client.Send(ctx, http.MethodPost, baseURL, path, body, &outcome)
	})
	return outcome, err
}

func (client *Client) read(ctx context.Context, path string, answer any) error {
	return client.tryEach(func(baseURL string) error { return client.client.Get(ctx, baseURL, path, answer) })
}

// tryEach calls try for each entry host until one answers. An error with a
// status below 500 is an answer.
func (client *Client) tryEach(try func(baseURL string) error) error {
	var lastErr error
	for _, baseURL := range client.baseURLs {
		lastErr = try(baseURL)
		var refused *rest.Error
		if lastErr == nil || (errors.As(lastErr, &refused) && refused.Status < http.StatusInternalServerError) {
			return lastErr
		}
	}
	return errors.Wrap(lastErr, "no entry host answered")
}
