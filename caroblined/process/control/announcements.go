package control

import (
	"context"
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

// AnnounceWithoutEcho passes the announcement of a host that echoes no stamp to
// the member. It returns once the member has merged the announcement and queued
// it for the leader.
func (control *Control) AnnounceWithoutEcho(ctx context.Context, announcement roster.Announcement) error {
	return control.stepMember(ctx, "renew", member.AnnouncedWithoutEcho{Announcement: announcement})
}

// Depart marks a host as leaving. It returns once the member has merged the
// change and queued it for the leader.
func (control *Control) Depart(ctx context.Context, host id.Host, incarnation id.Incarnation) error {
	return control.stepMember(ctx, "depart", member.Departed{Host: host, Incarnation: incarnation})
}

// stepMember passes an event to the member and waits until its actions are
// executed. name labels the error when ctx ends first.
func (control *Control) stepMember(ctx context.Context, name string, event member.Event) error {
	done := make(chan struct{})
	ok := control.post(func(now time.Time) {
		control.executeMember(now, control.member.Step(now, event))
		close(done)
	})
	if !ok {
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), name)
	case <-control.ctx.Done():
		return ErrClosed
	}
}
