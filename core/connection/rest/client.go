package rest

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/dghubble/sling"
	"github.com/go-faster/errors"

	"carobline.dev/core/connection/fieldname"
	"carobline.dev/core/connection/status"
)

// Client calls one HTTP+JSON interface with one bearer token. Its errors name
// the request and the peer.
type Client struct {
	base *sling.Sling
}

// NewClient returns a client that sends requests with client. An empty token is
// not sent.
func NewClient(client *http.Client, token string) *Client {
	base := sling.New().Client(client)
	if token != "" {
		base = base.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: base}
}

// DialFailed reports whether a call failed because no connection could be opened,
// so that no byte of it can have reached the peer.
func DialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Refused reports whether an address refused a connection: nothing listens there. One that
// can't be reached in time, or not at all, hasn't refused.
func Refused(err error) bool { return DialFailed(err) && errors.Is(err, syscall.ECONNREFUSED) }

// Reach opens a connection to an address and closes it, without a byte sent. If it can't be
// opened, the error is one that DialFailed recognises.
func Reach(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) error {
	connection, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "open a connection")
	}
	if err := connection.Close(); err != nil {
		return errors.Wrap(err, "close a connection")
	}
	return nil
}

// Get decodes the resource at a path of a peer into answer.
func (client *Client) Get(ctx context.Context, peer, path string, answer any) error {
	return client.do(ctx, client.base.New().Get(peer+path), peer, "get "+path, answer)
}

// Send sends body as JSON by a method, which is POST unless it is PUT or DELETE,
// and decodes the response into answer.
func (client *Client) Send(ctx context.Context, method, peer, path string, body, answer any) error {
	request := client.base.New()
	switch method {
	case http.MethodPut:
		request = request.Put(peer + path)
	case http.MethodDelete:
		request = request.Delete(peer + path)
	default:
		request = request.Post(peer + path)
	}
	return client.do(ctx, request.BodyJSON(body), peer, method+" "+path, answer)
}

func (client *Client) do(ctx context.Context, call *sling.Sling, peer, step string, answer any) error {
	request, err := call.Request()
	if err != nil {
		return errors.Wrapf(err, "%s at %s", step, peer)
	}
	var failure ErrorBody
	//nolint:bodyclose // sling closes the body itself
	response, err := call.Do(request.WithContext(ctx), answer, &failure)
	if response != nil {
		// The body of such an answer needn't be what sling expects, so that its error comes second.
		if invalid := status.Check(response.StatusCode); invalid != nil {
			return errors.Wrapf(invalid, "%s at %s", step, peer)
		}
		if invalid := fieldname.Check(response.Header); invalid != nil {
			return errors.Wrapf(invalid, "%s at %s", step, peer)
		}
	}
	if err != nil {
		return errors.Wrapf(err, "%s at %s", step, peer)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	if failure.Error == nil {
		failure.Error = Unknown(response.StatusCode, "bad_answer", http.StatusText(response.StatusCode))
	}
	failure.Error.Status = response.StatusCode
	return errors.Wrapf(failure.Error, "%s at %s", step, peer)
}
