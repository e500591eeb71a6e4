package control

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
)

// Announce passes a host's announcement, with the stamp that the host echoes, to
// the member and returns the member's reply. It fails with ErrClosed or when ctx
// ends.
func (control *Control) Announce(ctx context.Context, announcement roster.Announcement, echo clock.Stamp) (member.AnnouncementReply, error) {
	result := make(chan member.AnnouncementReply, 1)
	ok := control.post(func(now time.Time) {
		actions := control.member.Step(now, member.Announced{Announcement: announcement, Echo: echo})
		control.executeMember(now, actions)
		result <- *actions.AnnouncementReply
	})
	if !ok {
		return member.AnnouncementReply{}, ErrClosed
	}
	select {
	case reply := <-result:
		return reply, nil
	case <-ctx.Done():
		return member.AnnouncementReply{}, errors.Wrap(ctx.Err(), "announce")
	case <-control.ctx.Done():
		return member.AnnouncementReply{}, ErrClosed
	}
}

// ErrUnknownHost is returned for the departure of a host that the node doesn't
// know, so that it can't inform the leader.
var ErrUnknownHost = errors.New("the node doesn't know the host that leaves; tell another node")

// ErrLeaderUnreachable is returned for an announcement to a node that the leader
// doesn't answer, so that it may not get to the leader from here.
var ErrLeaderUnreachable = errors.New("the node doesn't reach the leader; announce the host to another node")

// AnnounceWithoutEcho passes the announcement of a host that echoes no stamp to
// the member. It returns once the member has merged the announcement and queued
// it for the leader, or for a host that leaves, once the leader has it: nodes stop
// using the host within their lease from then on. It fails with ErrLeaderUnreachable
// on a node that the leader doesn't answer; the announcement is queued all the same.
func (control *Control) AnnounceWithoutEcho(ctx context.Context, announcement roster.Announcement) error {
	return control.stepMember(ctx, "renew", func(now time.Time, done chan<- error) {
		control.executeMember(now, control.member.Step(now, member.AnnouncedWithoutEcho{Announcement: announcement}))
		if !announcement.Leaving {
			done <- control.checkLeaderContact(now)
			return
		}
		control.awaitAcceptance(ctx, announcement.Host, done)
	})
}

func (control *Control) checkLeaderContact(now time.Time) error {
	if control.member.ReachesLeader(now) {
		return nil
	}
	return ErrLeaderUnreachable
}

// Depart marks a host as leaving. It returns once the leader has the change. It fails
// with ErrUnknownHost for an incarnation that the node hasn't learnt of.
func (control *Control) Depart(ctx context.Context, host id.Host, incarnation id.Incarnation) error {
	return control.stepMember(ctx, "depart", func(now time.Time, done chan<- error) {
		if !control.member.Knows(host, incarnation) {
			done <- ErrUnknownHost
			return
		}
		control.executeMember(now, control.member.Step(now, member.Departed{Host: host, Incarnation: incarnation}))
		control.awaitAcceptance(ctx, host, done)
	})
}

// acceptanceWait waits until the leader has accepted what a host announced.
type acceptanceWait struct {
	ctx  context.Context //nolint:containedctx // bounds the wait
	host id.Host
	done chan<- error
}

func (control *Control) awaitAcceptance(ctx context.Context, host id.Host, done chan<- error) {
	control.acceptanceWaits = append(control.acceptanceWaits, acceptanceWait{ctx, host, done})
	control.resolveAcceptances()
}

// resolveAcceptances ends the waits for what the leader has accepted, and drops those
// that have been given up.
func (control *Control) resolveAcceptances() {
	control.acceptanceWaits = slices.DeleteFunc(control.acceptanceWaits, func(wait acceptanceWait) bool {
		if wait.ctx.Err() != nil {
			return true
		}
		if !control.member.Accepted(wait.host) {
			return false
		}
		wait.done <- nil
		return true
	})
}

// stepMember runs step on the event loop and waits until it is done. name labels the
// error when ctx ends first.
func (control *Control) stepMember(ctx context.Context, name string, step func(now time.Time, done chan<- error)) error {
	done := make(chan error, 1)
	if !control.post(func(now time.Time) { step(now, done) }) {
		return ErrClosed
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), name)
	case <-control.ctx.Done():
		return ErrClosed
	}
}
