// Package engines runs stand-ins for the engines of a fleet: they announce themselves to
// the control hosts, carry out orders after the time that each takes, and fail. All
// share one listener, and each has a loopback address of its own.
//
// # Usage
//
//	fleet, err := engines.New(config)
//	fleet.Start(controlAddresses)
//	fleet.Lose(time.Now(), 11)
//	fmt.Println(fleet.Sample().OpenGroups)
//	fleet.Close()
package engines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/roster"
	"carobline.dev/measure/process/controlhost"
)

const (
	// ordersPath takes an action.Order.
	ordersPath = "/engine/v1/orders"
	// maxOrderBytes bounds the body of an order.
	maxOrderBytes = 1 << 16
	tickInterval  = 20 * time.Millisecond
	// announceTimeout bounds one announcement to one control host.
	announceTimeout = time.Second
	// replaceTime is how long after the loss of an engine a new one takes its place.
	replaceTime = 5 * time.Second
	// stallTime is how long after the loss of a member calls make no progress.
	stallTime         = 500 * time.Millisecond
	headerTimeout     = 5 * time.Second
	maxIdlePerControl = 64
)

// Config is fixed for the life of a fleet.
type Config struct {
	Engines         int
	EnginesInDomain int
	Service         id.Service
	// IP returns the loopback address of the engine with a number, which counts from 0
	// and rises with each new engine.
	IP func(number int) string
}

// Sample is what has happened since the sample before.
type Sample struct {
	// Announcements counts those to each control host that was tried, Refused those of
	// them that failed.
	Announcements, Refused int
	// OpenGroups counts the open groups that have all of their members.
	OpenGroups int
}

// assignment is one assignment of engines to a group.
type assignment struct {
	group   id.Group
	fencing id.FencingToken
}

// replacement is a lost engine's domain, and when a new engine takes its place.
type replacement struct {
	at     time.Time
	domain id.Domain
}

// Fleet is a number of engines.
type Fleet struct {
	config   Config
	socket   net.Listener
	server   *http.Server
	client   *rest.Client
	idle     func()
	controls []string

	mutex           sync.Mutex
	engines         []*engine
	engineByAddress map[string]*engine
	replacements    []replacement
	// memberLostAt holds the assignments that have lost a member.
	memberLostAt map[assignment]time.Time
	sample       Sample

	ctx        context.Context //nolint:containedctx // bounds all announcements
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// New opens the listener of a fleet.
func New(config Config) (*Fleet, error) {
	// Only a listener on all addresses is reached at each engine's own one. What isn't
	// addressed to an engine gets no answer.
	socket, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for orders to engines")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerControl}
	ctx, stop := context.WithCancel(context.Background())
	fleet := &Fleet{
		config: config, socket: socket, ctx: ctx, stop: stop, engineByAddress: map[string]*engine{}, memberLostAt: map[assignment]time.Time{},
		client: rest.NewClient(&http.Client{Transport: transport, Timeout: announceTimeout}, ""), idle: transport.CloseIdleConnections,
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+ordersPath, rest.Handle(rest.Intake{}, maxOrderBytes, fleet.handleOrder))
	fleet.server = &http.Server{Handler: fleet.answerAsEngine(mux), ReadHeaderTimeout: headerTimeout}
	return fleet, nil
}

// Start starts the engines, which announce themselves to control hosts at addresses.
func (fleet *Fleet) Start(controlAddresses []string) {
	fleet.controls = controlAddresses
	now := time.Now()
	for number := range fleet.config.Engines {
		fleet.add(now, id.Domain(fmt.Sprintf("domain-%d", number/fleet.config.EnginesInDomain)))
	}
	fleet.goroutines.Go(func() {
		_ = fleet.server.Serve(fleet.socket) // returns when Close closes the server
	})
	fleet.goroutines.Go(fleet.run)
}

// Close stops the engines and waits for all announcements to end.
func (fleet *Fleet) Close() {
	fleet.stop()
	// What is left of the connections ends with their clients.
	_ = fleet.server.Close()
	_ = fleet.socket.Close() // it is open still where Start wasn't called
	fleet.goroutines.Wait()
	fleet.idle()
}

// add adds an engine without weights, whose first announcement is due within one
// interval.
func (fleet *Fleet) add(now time.Time, domain id.Domain) {
	number := len(fleet.engines)
	_, port, _ := net.SplitHostPort(fleet.socket.Addr().String())
	added := &engine{
		host: id.Host("engine-" + strconv.Itoa(number)), address: net.JoinHostPort(fleet.config.IP(number), port),
		domain: domain, service: fleet.config.Service, incarnation: id.Incarnation(now.UnixMilli()), //nolint:gosec // not below 0
		announceAt: now.Add(rand.N(announceInterval)), //nolint:gosec // spreads load
	}
	fleet.engines = append(fleet.engines, added)
	fleet.engineByAddress[added.address] = added
}

func (fleet *Fleet) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-fleet.ctx.Done():
			return
		case <-ticker.C:
			fleet.tick(time.Now())
		}
	}
}

// tick advances all engines and sends the announcements that are due.
func (fleet *Fleet) tick(now time.Time) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for len(fleet.replacements) > 0 && due(now, fleet.replacements[0].at) {
		fleet.add(now, fleet.replacements[0].domain)
		fleet.replacements = fleet.replacements[1:]
	}
	for _, engine := range fleet.engines {
		if engine.failed {
			continue
		}
		engine.advance(now)
		if due(now, engine.announceAt) {
			engine.announceAt = now.Add(announceInterval)
			announcement := engine.announcement()
			fleet.goroutines.Go(func() { fleet.announce(announcement) })
		}
	}
}

// announce sends an announcement to one control host after the other until one accepts
// it.
func (fleet *Fleet) announce(announcement roster.Announcement) {
	first := rand.IntN(len(fleet.controls))
	for offset := range fleet.controls {
		address := fleet.controls[(first+offset)%len(fleet.controls)]
		err := fleet.client.Send(fleet.ctx, http.MethodPost, "http://"+address, controlhost.AnnouncePath, announcement, nil)
		if fleet.ctx.Err() != nil {
			return
		}
		fleet.countAnnouncement(err)
		if err == nil {
			return
		}
	}
}

func (fleet *Fleet) countAnnouncement(err error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.sample.Announcements++
	if err != nil {
		fleet.sample.Refused++
	}
}

// answerAsEngine answers nothing as long as the addressed engine has failed, and breaks off
// what is addressed to no engine.
func (fleet *Fleet) answerAsEngine(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		engine := fleet.addressedEngine(request.Context())
		if engine == nil {
			rest.AbortAnswer(writer, request)
		}
		if fleet.isDark(engine) {
			select {
			case <-request.Context().Done():
			case <-time.After(announceTimeout):
			}
			rest.AbortAnswer(writer, request)
		}
		next.ServeHTTP(writer, request)
	})
}

// addressedEngine returns the engine at the local address of a request's connection, nil
// if there is none.
func (fleet *Fleet) addressedEngine(ctx context.Context) *engine {
	address, ok := ctx.Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return nil
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.engineByAddress[address.String()]
}

func (fleet *Fleet) isDark(engine *engine) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return engine.failed
}

// empty is an answer without content.
type empty struct{}

func (fleet *Fleet) handleOrder(ctx context.Context, order action.Order) (empty, error) {
	engine := fleet.addressedEngine(ctx)
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	engine.carryOut(time.Now(), order)
	return empty{}, nil
}
