package fleet_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/fleet"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// fuzzSeeds is how many seeds run without the fuzzer, and fuzzRounds the number of
	// faults in each.
	fuzzSeeds, fuzzRounds = 60, 12
	fuzzEngines           = 14
)

// declarationWorld is a world whose declaration changes, while engines come, go and
// restart. One seed determines what happens.
type declarationWorld struct {
	*world
	rand        *rand.Rand
	revision    id.Revision
	engineCount int
	services    []id.Service
	models      []id.Model
}

// Guards against a leader that crashes, or plans without end, on a declaration that Validate
// accepts: services without models, sizes, shares and limits of 0, or far too large ones.
func FuzzFleetTakesAnyValidDeclaration(f *testing.F) {
	for seed := range uint64(fuzzSeeds) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		drawn := &declarationWorld{
			world: newWorld(t, 0, 0), rand: rand.New(rand.NewPCG(seed, 11)), revision: 1,
			services: []id.Service{"pool", "second", "plain"}, models: []id.Model{"one", "two", ""},
		}
		for range fuzzEngines {
			drawn.addEngine()
		}
		for range fuzzRounds {
			drawn.fault()
			drawn.run(time.Duration(drawn.rand.IntN(3000)) * time.Millisecond)
		}
	})
}

// Guards against a leader that crashes when empty engines announce themselves for a service
// whose list of models is still empty (review/2).
func TestEmptyEnginesOfAServiceWithoutModelsLeaveTheLeaderRunning(t *testing.T) {
	world := newWorld(t, 1, 2)
	world.fleet.Step(world.now, fleet.CallReported{})
	world.run(8 * time.Second)
	if len(world.orders) > 0 {
		t.Errorf("orders are sent to engines of a service without models: %v", world.orders)
	}
}

// fault does one thing to the world: it declares, adds, removes or restarts an engine,
// changes the leader, or begins the calls.
func (world *declarationWorld) fault() {
	world.declare()
	world.nodesAt = world.state.Version()
	switch world.rand.IntN(5) {
	case 0, 1:
		world.addEngine()
	case 2:
		hosts := slices.Sorted(maps.Keys(world.engines))
		world.lose(pick(world.rand, hosts...))
	case 3:
		world.fleet = fleet.New(world.now, fleet.Config{Term: id.Term(world.rand.Uint64N(1 << 20)), EngineStallTimeout: engineStallTimeout})
	case 4:
		world.fleet.Step(world.now, fleet.CallReported{})
	}
}

func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

func (world *declarationWorld) addEngine() {
	world.engineCount++
	host := id.Host(fmt.Sprintf("e%02d", world.engineCount))
	announcement := &roster.Announcement{
		Host: host, Incarnation: 1, Address: string(host), Domain: pick(world.rand, id.Domain("a"), "b", ""),
		Service: pick(world.rand, world.services...), Engine: world.rand.IntN(8) > 0, LeaseMS: 4 * announceInterval.Milliseconds(),
	}
	for _, model := range world.models {
		if world.rand.IntN(3) == 0 {
			announcement.Staged = append(announcement.Staged, model)
		}
	}
	world.engines[host] = announcement
}

// declare puts a drawn declaration in force.
func (world *declarationWorld) declare() {
	world.t.Helper()
	world.revision++
	declaration := routing.Declaration{Revision: world.revision}
	for _, name := range world.services {
		if world.rand.IntN(5) > 0 {
			declaration.Services = append(declaration.Services, routing.Service{Name: name, Engine: world.engine()})
		}
	}
	if err := declaration.Validate(); err != nil {
		world.t.Fatalf("a drawn declaration isn't valid: %v", err)
	}
	world.apply(register.Command{Declare: &register.Declare{Declaration: declaration}})
}

// engine draws the settings of a service's engines, or none.
func (world *declarationWorld) engine() *routing.Engine {
	if world.rand.IntN(6) == 0 {
		return nil
	}
	engine := &routing.Engine{
		Slots: pick(world.rand, 0, 8, -1), LoadsAtOnce: pick(world.rand, 0, 1, 7, math.MaxInt, math.MinInt),
		LoadsPerSecond: pick(world.rand, 0, 0.5, 5, math.MaxFloat64, -1), StagedModels: pick(world.rand, 0, 1, 3, math.MaxInt, -1),
	}
	for range world.rand.IntN(4) {
		engine.Models = append(engine.Models, routing.Model{
			Name: pick(world.rand, world.models...), Hosts: pick(world.rand, 0, 1, 2, 4, math.MaxInt, -3),
			Share: pick(world.rand, 0, 0.5, 1, math.MaxFloat64, -1), LoadMS: pick(world.rand, int64(0), 12_000, 1<<31, -1),
		})
	}
	return engine
}
