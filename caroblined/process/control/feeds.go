package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/member"
)

func (control *Control) sendFeed(now time.Time, send member.Send) {
	number := send.Request.Number
	if send.To == control.config.Self {
		ticket := control.newTicket(func(result any) { control.postFeedReply(number, result) })
		control.stepVoter(now, controller.FeedRequested{Ticket: ticket, Request: send.Request})
		return
	}
	control.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(control.ctx, feedTimeout)
		defer cancel()
		answer, err := control.config.Peers.Feed(ctx, send.To, send.Request)
		if err != nil {
			control.post(func(now time.Time) {
				control.executeMember(now, control.member.Step(now, member.Failed{Number: number}))
			})
			return
		}
		control.postFeedReply(number, controller.Reply{Response: answer.Response, Redirect: answer.Redirect})
	})
}

// postFeedReply passes the reply to a feed request to the member. It never blocks
// on a full event queue, since its caller may be the event loop that empties it.
func (control *Control) postFeedReply(number uint64, result any) {
	reply, _ := result.(controller.Reply)
	deliver := func(now time.Time) {
		var event member.Event
		switch {
		case reply.Response != nil:
			event = member.Responded{Response: *reply.Response}
		case reply.Redirect != nil:
			event = member.Redirected{Number: number, Redirect: *reply.Redirect}
		default:
			event = member.Failed{Number: number}
		}
		control.executeMember(now, control.member.Step(now, event))
	}
	select {
	case control.events <- queuedEvent{control.config.Now(), deliver}:
	default:
		control.goroutines.Go(func() { control.post(deliver) })
	}
}

// Feed answers a node's feed request: with a response if this node leads, else
// with a redirect. A response is replaced by an empty redirect if the leader
// lease has expired by the time the response is ready.
func (control *Control) Feed(ctx context.Context, request feed.Request) (peers.FeedAnswer, error) {
	result := make(chan any, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil {
			result <- controller.Reply{Redirect: &feed.Redirect{Leader: control.member.Leader(), Voters: control.member.Voters()}}
			return
		}
		ticket := control.newTicket(func(reply any) { result <- reply })
		control.stepVoter(now, controller.FeedRequested{Ticket: ticket, Request: request})
	})
	if !ok {
		return peers.FeedAnswer{}, ErrClosed
	}
	select {
	case content := <-result:
		reply, _ := content.(controller.Reply)
		if reply.Response != nil && !control.holdsLeaderLease() {
			return peers.FeedAnswer{Redirect: &feed.Redirect{}}, nil
		}
		return peers.FeedAnswer{Response: reply.Response, Redirect: reply.Redirect}, nil
	case <-ctx.Done():
		return peers.FeedAnswer{}, errors.Wrap(ctx.Err(), "feed")
	case <-control.ctx.Done():
		return peers.FeedAnswer{}, ErrClosed
	}
}
