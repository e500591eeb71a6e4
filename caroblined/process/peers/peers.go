// Package peers carries messages to the other nodes. Messages between voters go
// out in order over one goroutine for each peer; when a peer is slow the oldest
// are dropped, as the log repeats what is lost.
//
// # Usage
//
//	carrier := peers.New(peers.Config{Addresses: addresses, Client: client})
//	carrier.Send(messages)
//	response, redirect, err := carrier.Feed(ctx, "n2", request)
//	carrier.Close()
package peers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

const (
	// queueLength bounds what waits for one peer.
	queueLength = 64
	// maxBatchBytes bounds the entries of one delivery, but for the first message.
	maxBatchBytes = 1 << 20
	// sendTimeout bounds one delivery of messages.
	sendTimeout = 500 * time.Millisecond
)

// ErrUnknownPeer reports a node that settings don't name.
var ErrUnknownPeer = errors.New("peer is not in the settings")

// Config is fixed for the life of a process.
type Config struct {
	Self id.Node
	// Addresses are base URLs by node.
	Addresses map[id.Node]string
	// Resolve gives the base URL of a node that Addresses doesn't name.
	Resolve func(id.Node) (string, bool)
	Client  *rest.Client
}

// Proposal is a change on its way to the leader.
type Proposal struct {
	Command    register.Command `json:"command"`
	AcceptLoss bool             `json:"accept_loss,omitempty"`
	// Voters asks for a new set of voters in place of Command.
	Voters []id.Node `json:"voters,omitempty"`
	Actor  string    `json:"actor,omitempty"`
}

// Messages is one delivery between voters.
type Messages struct {
	Messages []quorum.Message `json:"messages"`
}

// Empty is an answer without content.
type Empty struct{}

// Peers carries messages. It is safe for concurrent use.
type Peers struct {
	config     Config
	queues     map[id.Node]chan quorum.Message
	ctx        context.Context //nolint:containedctx // the life of all deliveries
	stop       context.CancelFunc
	deliveries sync.WaitGroup
}

// New returns a carrier that starts a goroutine for each node it sends to.
func New(config Config) *Peers {
	ctx, stop := context.WithCancel(context.Background())
	return &Peers{config: config, queues: map[id.Node]chan quorum.Message{}, ctx: ctx, stop: stop}
}

// Close stops all deliveries and waits for them.
func (peers *Peers) Close() {
	peers.stop()
	peers.deliveries.Wait()
}

// Send queues messages and never waits. One goroutine uses it at a time.
func (peers *Peers) Send(messages []quorum.Message) {
	for _, message := range messages {
		queue := peers.queue(message.To)
		if queue == nil {
			continue
		}
		select {
		case queue <- message:
		default:
		}
	}
}

// queue finds or starts the deliveries to a node.
func (peers *Peers) queue(node id.Node) chan quorum.Message {
	if queue := peers.queues[node]; queue != nil {
		return queue
	}
	if _, ok := peers.address(node); !ok || node == peers.config.Self {
		return nil
	}
	queue := make(chan quorum.Message, queueLength)
	peers.queues[node] = queue
	peers.deliveries.Go(func() { peers.deliver(peers.ctx, node, queue) })
	return queue
}

func (peers *Peers) address(node id.Node) (string, bool) {
	if address, ok := peers.config.Addresses[node]; ok {
		return address, true
	}
	if peers.config.Resolve == nil {
		return "", false
	}
	return peers.config.Resolve(node)
}

func (peers *Peers) deliver(ctx context.Context, node id.Node, queue chan quorum.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			batch := Messages{Messages: collectBatch(queue, message)}
			sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
			// A lost message is repeated by the log itself.
			_ = peers.post(sendCtx, node, "/peer/v1/quorum", batch, &Empty{})
			cancel()
		}
	}
}

func collectBatch(queue chan quorum.Message, first quorum.Message) []quorum.Message {
	const most = 64
	batch := []quorum.Message{first}
	size := entryBytes(first)
	for len(batch) < most && size < maxBatchBytes {
		select {
		case message := <-queue:
			batch = append(batch, message)
			size += entryBytes(message)
		default:
			return batch
		}
	}
	return batch
}

func entryBytes(message quorum.Message) int {
	total := 0
	for index := range message.Entries {
		total += len(message.Entries[index].Data)
	}
	return total
}

func (peers *Peers) post(ctx context.Context, node id.Node, path string, body, answer any) error {
	address, ok := peers.address(node)
	if !ok {
		return errors.Wrapf(ErrUnknownPeer, "%s for %s", path, node)
	}
	return peers.config.Client.Send(ctx, http.MethodPost, address, path, body, answer)
}

// FeedAnswer is a Response, or a Redirect from a node that doesn't lead.
type FeedAnswer struct {
	Response *feed.Response `json:"response,omitempty"`
	Redirect *feed.Redirect `json:"redirect,omitempty"`
}

// Feed makes one exchange with a voter.
func (peers *Peers) Feed(ctx context.Context, node id.Node, request feed.Request) (FeedAnswer, error) {
	var answer FeedAnswer
	err := peers.post(ctx, node, "/peer/v1/feed", request, &answer)
	return answer, err
}

// Propose asks a voter to accept a change.
func (peers *Peers) Propose(ctx context.Context, node id.Node, proposal Proposal) (controller.Outcome, error) {
	var outcome controller.Outcome
	err := peers.post(ctx, node, "/peer/v1/propose", proposal, &outcome)
	return outcome, err
}

// Read asks a voter for what only the leader knows.
func (peers *Peers) Read(ctx context.Context, node id.Node, path string, answer any) error {
	address, ok := peers.address(node)
	if !ok {
		return errors.Wrapf(ErrUnknownPeer, "%s for %s", path, node)
	}
	return peers.config.Client.Get(ctx, address, path, answer)
}
