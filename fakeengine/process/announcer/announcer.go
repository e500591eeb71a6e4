// Package announcer announces a host to one entry host and changes to the next one
// when that fails, as docs/PROTOCOLS.md specifies: it echoes the entry host's last
// stamp, advanced by the time since it was received, and announces again at once
// when the entry host requests it.
//
// # Usage
//
//	announcer := announcer.New(config)
//	err := announcer.AnnounceOnce(ctx) // again after each interval
package announcer

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/roster"
)

// Config is fixed for the life of an announcer.
type Config struct {
	// EntryURLs are base URLs of the entry hosts' host interfaces.
	EntryURLs []string
	Client    *rest.Client
	// NextAnnouncement returns the next announcement, and false if none is to be
	// sent.
	NextAnnouncement func() (roster.Announcement, bool)
	Now              func() time.Time
}

// announceRequest is the body of the request.
type announceRequest struct {
	Announcement roster.Announcement `json:"announcement"`
	Echo         clock.Stamp         `json:"echo,omitzero"`
}

// announceResponse is the body of the response. Resend requests another
// announcement at once.
type announceResponse struct {
	Stamp  clock.Stamp `json:"stamp"`
	Resend bool        `json:"again"`
}

// Announcer announces one host. One goroutine uses it.
type Announcer struct {
	config          Config
	entryIndex      int
	lastStamp       clock.Stamp
	stampReceivedAt time.Time
}

// New returns an announcer that starts with the first entry host.
func New(config Config) *Announcer { return &Announcer{config: config} }

// AnnounceOnce announces the host to the first entry host that accepts it,
// beginning with the one used last, and trying each of them once. It returns the
// last error if all fail, and nil without sending anything while
// Config.NextAnnouncement returns false.
func (announcer *Announcer) AnnounceOnce(ctx context.Context) error {
	var lastErr error
	for range announcer.config.EntryURLs {
		silent, err := announcer.announceToEntry(ctx)
		if err == nil || silent {
			return nil
		}
		lastErr = err
		announcer.entryIndex = (announcer.entryIndex + 1) % len(announcer.config.EntryURLs)
		announcer.lastStamp = clock.Stamp{}
	}
	return errors.Wrap(lastErr, "announce")
}

func (announcer *Announcer) announceToEntry(ctx context.Context) (silent bool, err error) {
	for range 2 {
		announcement, ok := announcer.config.NextAnnouncement()
		if !ok {
			return true, nil
		}
		body := announceRequest{Announcement: announcement}
		if announcer.lastStamp != (clock.Stamp{}) {
			body.Echo = announcer.lastStamp.Advance(announcer.config.Now().Sub(announcer.stampReceivedAt))
		}
		var response announceResponse
		err := announcer.config.Client.Send(ctx, http.MethodPost, announcer.config.EntryURLs[announcer.entryIndex], "/announce/v1/hosts", body, &response)
		if err != nil {
			return false, err
		}
		announcer.lastStamp, announcer.stampReceivedAt = response.Stamp, announcer.config.Now()
		if !response.Resend {
			return false, nil
		}
	}
	return false, errors.New("the entry host requested another announcement twice in a row")
}
