// Package peers sends messages to the other nodes. Messages between voters are
// sent in order, by one goroutine per peer. While the queue of a slow peer is
// full, new messages to it are dropped; the replicated log sends lost messages
// again.
//
// # Usage
//
//	client := peers.New(peers.Config{URLByNode: urls, Client: restClient})
//	client.Send(messages)
//	answer, err := client.Feed(ctx, "n2", request)
//	client.Close()
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
	// queueLength bounds the messages queued for one peer.
	queueLength = 64
	// maxBatchBytes is the size of log entries at which a batch takes no further
	// message; its last message may exceed it.
	maxBatchBytes = 1 << 20
	// sendTimeout bounds the request that sends one batch.
	sendTimeout = 500 * time.Millisecond
)

// ErrUnknownPeer is returned for a node whose address is not known.
var ErrUnknownPeer = errors.New("peer is not in the settings")

// Config is fixed for the life of a process.
type Config struct {
	Self id.Node
	// URLByNode holds the base URLs of nodes.
	URLByNode map[id.Node]string
	// Resolve returns the base URL of a node that isn't in URLByNode, false if it
	// has none. It may be nil.
	Resolve func(id.Node) (string, bool)
	Client  *rest.Client
}

// Proposal is a change proposed to the leader: Command, or a new set of Voters.
type Proposal struct {
	Command    register.Command `json:"command"`
	AcceptLoss bool             `json:"accept_loss,omitempty"`
	// Voters, if set, is the requested set of voters, and Command is ignored.
	Voters []id.Node `json:"voters,omitempty"`
	Actor  string    `json:"actor,omitempty"`
	// KnownDataCentre is that of controller.ChangeProposed. It is set for evacuations only, which
	// a leader of an older release refuses in any case.
	KnownDataCentre bool `json:"known_data_centre,omitempty"`
}

// Messages is one batch of messages between voters.
type Messages struct {
	Messages []quorum.Message `json:"messages"`
}

// Empty is a response without content.
type Empty struct{}

// Peers sends messages to other nodes. Except for Send it is safe for concurrent
// use.
type Peers struct {
	config     Config
	queues     map[id.Node]chan quorum.Message
	ctx        context.Context //nolint:containedctx // bounds all deliveries
	stop       context.CancelFunc
	deliveries sync.WaitGroup
}

// New returns a Peers. Send starts one goroutine per node that it sends to.
func New(config Config) *Peers {
	ctx, stop := context.WithCancel(context.Background())
	return &Peers{config: config, queues: map[id.Node]chan quorum.Message{}, ctx: ctx, stop: stop}
}

// Close cancels all deliveries and waits for their goroutines to end.
func (peers *Peers) Close() {
	peers.stop()
	peers.deliveries.Wait()
}

// Send queues messages between voters and never blocks: it drops a message whose
// receiver is unknown or has a full queue. It must not be called concurrently.
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

// queue returns the message queue of a node, and starts its delivery goroutine on
// the first use. It returns nil for this node and for one without an address.
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
	if address, ok := peers.config.URLByNode[node]; ok {
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
			// The replicated log sends a lost message again.
			_ = peers.post(sendCtx, node, "/peer/v1/quorum", batch, &Empty{})
			cancel()
		}
	}
}

// collectBatch returns first and the queued messages after it, up to the limits
// of one batch. It doesn't wait for more messages.
func collectBatch(queue chan quorum.Message, first quorum.Message) []quorum.Message {
	const maxBatchMessages = 64
	batch := []quorum.Message{first}
	size := entryBytes(first)
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
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

// FeedAnswer is a Response from the leader, or a Redirect from any other node.
type FeedAnswer struct {
	Response *feed.Response `json:"response,omitempty"`
	Redirect *feed.Redirect `json:"redirect,omitempty"`
}

// Feed sends a feed request to a voter.
func (peers *Peers) Feed(ctx context.Context, node id.Node, request feed.Request) (FeedAnswer, error) {
	var answer FeedAnswer
	err := peers.post(ctx, node, "/peer/v2/feed", request, &answer)
	return answer, err
}

// Propose proposes a change to a voter.
func (peers *Peers) Propose(ctx context.Context, node id.Node, proposal Proposal) (controller.Outcome, error) {
	var outcome controller.Outcome
	err := peers.post(ctx, node, "/peer/v1/propose", proposal, &outcome)
	return outcome, err
}

// Read gets a path from a voter and decodes the response into answer. Only the
// leader serves the paths; other nodes return an error.
func (peers *Peers) Read(ctx context.Context, node id.Node, path string, answer any) error {
	address, ok := peers.address(node)
	if !ok {
		return errors.Wrapf(ErrUnknownPeer, "%s for %s", path, node)
	}
	return peers.config.Client.Get(ctx, address, path, answer)
}
