package controller_test

import (
	"fmt"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
)

// host is one fake engine host.
type host struct {
	world       *world
	name        id.Host
	clock       skewed
	checks      bool
	domain      id.Domain
	up          bool
	incarnation id.Incarnation
	sequence    uint64
	serving     roster.Serving
	leaving     bool
	leftAt      time.Duration
	stamp       clock.Stamp
	stampAt     time.Time
	// said keeps when the host last said that it serves in a group, by group
	// and fencing number.
	said map[roster.Serving]time.Duration
}

func newHost(world *world, index int) *host {
	host := &host{
		world: world, name: id.Host(fmt.Sprintf("h%02d", index)), clock: world.newClock(),
		checks: index%4 != 0, domain: id.Domain(fmt.Sprintf("f%d", index%fakeDomains)), up: true, incarnation: 1,
		said: map[roster.Serving]time.Duration{},
	}
	world.after(time.Duration(world.rand.Int64N(int64(renewEvery))), host.renew)
	return host
}

func (host *host) restart() {
	host.up, host.leaving, host.leftAt = true, false, 0
	host.incarnation++
	host.serving = roster.Serving{}
	host.stamp = clock.Stamp{}
}

func (host *host) renew() {
	host.world.after(renewEvery, host.renew)
	if host.up {
		host.announce(host.world.nodes[host.world.rand.IntN(len(host.world.nodes))], 0)
	}
}

func (host *host) announce(entry *node, round int) {
	world := host.world
	host.sequence++
	announcement := roster.Announcement{
		Host: host.name, Incarnation: host.incarnation, Sequence: host.sequence, Address: string(host.name),
		DataCentre: "dc", Domain: host.domain, Accelerators: 2, Models: []id.Model{fakeModel},
		ChecksFencing: host.checks, Resumes: true, LeaseMS: hostLease.Milliseconds(),
		Load: roster.Load{Slots: 8}, Serving: host.serving, Leaving: host.leaving,
	}
	host.said[host.serving] = world.now
	echo := host.stamp
	if echo.Node != "" {
		echo = echo.Advance(host.clock.read(world.now).Sub(host.stampAt))
	}
	life := host.incarnation
	world.send(string(host.name), string(entry.name), func() {
		entry.guard(func() {
			actions := entry.member.Step(entry.local(), member.Announced{Announcement: announcement, Echo: echo})
			entry.follow(actions)
			world.send(string(entry.name), string(host.name), host.guard(func() {
				if host.incarnation != life {
					return
				}
				host.stamp, host.stampAt = actions.AnnouncementReply.Stamp, host.clock.read(world.now)
				if actions.AnnouncementReply.Resend && round == 0 {
					host.announce(entry, 1)
				}
			}))
		})()
	})
}

func (host *host) obey(order controller.Order) {
	if host.checks && order.Fencing < host.serving.Fencing {
		return
	}
	host.serving = roster.Serving{Group: order.Group, Model: order.Model, Fencing: order.Fencing, Ready: order.Kind == controller.OrderLoad}
}
