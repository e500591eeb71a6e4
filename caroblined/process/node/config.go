package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"carobline.dev/caroblined/connection/entryapi"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/process/wal"
)

// Entry configures an entry host, which forwards callers' requests.
type Entry struct {
	Address string
	Dialect entryapi.Dialect
	// ReadyAddress and ReadyPath serve the readiness check of the load balancer in
	// front of the entry hosts: status 200 while the node accepts new connections, else
	// 503.
	ReadyAddress string
	ReadyPath    string
	// SavedRetries is passed on to entryapi.Config.
	SavedRetries int
	// DataCentre is where the host is; empty if that isn't known.
	DataCentre id.DataCentre
}

// Control configures a control host, which serves endpoints and operators.
type Control struct {
	Address string
	// Handler returns the handler for requests of endpoints and operators, whose bodies it reads
	// with intake.
	Handler func(loop *control.Control, intake rest.Intake) http.Handler
	// DataFolder holds the write-ahead log and the node's identity.
	DataFolder string
	// Founder makes the node one of the first voters, together with the seeds, at
	// the first start of the system.
	Founder bool
}

// Config is fixed for the life of a process.
type Config struct {
	// PeerAddress is the host and port on which other nodes reach this one.
	PeerAddress string
	// ReadSeeds returns the peer addresses of some control hosts. It is called
	// again on a reload and while the node holds no lease.
	ReadSeeds func() ([]string, error)
	Entry     *Entry
	Control   *Control
	// TargetVoters is the number of control hosts that should vote.
	TargetVoters int
	// EngineStallTimeout is how long a group waits for an engine that it has lost
	// before it is dissolved.
	EngineStallTimeout time.Duration
	// DataCentres is passed on to control.Config.
	DataCentres []id.DataCentre
	// NodeLease is how long a node may act on the leader's last response: at most
	// feed.Lease, which zero stands for.
	NodeLease time.Duration
	// GracePeriod bounds the time from the stop request to the end of the process.
	GracePeriod time.Duration
	// Memory is what the process may use, in bytes; zero bounds nothing.
	Memory memory.Bytes
	// SendOrder delivers an order, other than a probe, to its host.
	SendOrder func(ctx context.Context, client *http.Client, order action.Order) error
	// Disk stores the write-ahead log and the identity of a control host.
	Disk wal.Disk
	Log  zerolog.Logger
	// process is the same for all nodes that Supervise runs, one after another.
	process string
}
