package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

// Guards against staged weights and standby groups for the engines of the first service alone.
func TestEnginesOfEachServiceArePrepared(t *testing.T) {
	world := newWorld(t, 0, 0)
	var services []routing.Service
	models := map[id.Service][]routing.Model{}
	for _, name := range []id.Service{"pool", "second"} {
		models[name] = []routing.Model{
			{Name: id.Model(string(name) + "-four"), Hosts: 4, Share: 0.5, LoadMS: 1000},
			{Name: id.Model(string(name) + "-two"), Hosts: 2, Share: 0.5, LoadMS: 1000},
		}
		services = append(services, routing.Service{Name: name, Engine: &routing.Engine{Slots: 8, LoadsAtOnce: 7, LoadsPerSecond: 5, StagedModels: 1, Models: models[name]}})
		for index := range 9 {
			host := id.Host(fmt.Sprintf("%s-%02d", name, index))
			world.engines[host] = &roster.Announcement{
				Host: host, Incarnation: 1, Address: string(host), Domain: id.Domain("d-" + string(name)), Service: name, Engine: true,
				LeaseMS: 4 * announceInterval.Milliseconds(), Load: roster.Load{Slots: 8},
			}
		}
	}
	world.apply(register.Command{Declare: &register.Declare{Declaration: routing.Declaration{Revision: 2, Services: services}}})
	world.run(40 * time.Second)
	staged, loads := map[id.Service]int{}, map[id.Service]int{}
	for _, order := range world.orders {
		service := world.engines[order.Host].Service
		switch order.Kind {
		case action.OrderStage:
			staged[service]++
		case action.OrderLoad:
			loads[service]++
		}
	}
	t.Logf("orders to stage %v, to load %v", staged, loads)
	for _, name := range []id.Service{"pool", "second"} {
		if staged[name] == 0 {
			t.Errorf("service %s: no weights are staged for later groups", name)
		}
	}
}
