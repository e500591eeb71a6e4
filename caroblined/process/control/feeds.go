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
		control.answerFeed(now, send.Request, func(result any) {
			if reply, ok := result.(controller.Reply); ok && reply.Response != nil {
				control.noteStopReported(&send.Request)
			}
			control.postFeedReply(number, result)
		})
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
		if answer.Response != nil {
			control.noteStopReported(&send.Request)
		}
		control.postFeedReply(number, controller.Reply{Response: answer.Response, Redirect: answer.Redirect})
	})
}

// answerFeed passes a feed request to the voter. resolve gets its reply, which on the leader
// informs a new run how the one before it has ended.
func (control *Control) answerFeed(now time.Time, request feed.Request, resolve func(result any)) {
	former := control.observeRun(now, &request)
	ticket := control.newTicket(func(result any) {
		if reply, ok := result.(controller.Reply); ok && reply.Response != nil {
			reply.Response.TakesRuns, reply.Response.FormerRun = true, former
		}
		resolve(result)
	})
	control.stepVoter(now, controller.FeedRequested{Ticket: ticket, Request: request})
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
			if former := reply.Response.FormerRun; former != nil && control.config.OnFormerRun != nil {
				control.config.OnFormerRun(*former)
			}
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
		control.answerFeed(now, request, func(reply any) { result <- reply })
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
