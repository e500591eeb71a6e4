// Package announcer announces a host to one entry host after another, as
// docs/PROTOCOLS.md says: it returns the entry host's last stamp, advanced by
// the time since, and repeats at once when it is asked to.
//
// # Usage
//
//	loop := announcer.New(config)
//	loop.Once(ctx)
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

// Config is fixed for the life of a process.
type Config struct {
	// Entries are base URLs of the entry hosts' host interfaces.
	Entries []string
	Client  *rest.Client
	Next    func() (roster.Announcement, bool)
	Now     func() time.Time
}

// announce is the body of an announcement.
type announce struct {
	Announcement roster.Announcement `json:"announcement"`
	Echo         clock.Stamp         `json:"echo,omitzero"`
}

// welcome is its answer.
type welcome struct {
	Stamp clock.Stamp `json:"stamp"`
	Again bool        `json:"again"`
}

// Announcer announces one host. One goroutine uses it.
type Announcer struct {
	config  Config
	entry   int
	stamp   clock.Stamp
	stampAt time.Time
}

// New returns an announcer that starts with the first entry host.
func New(config Config) *Announcer { return &Announcer{config: config} }

// Once announces the host, trying each entry host once. Nothing is sent while
// the host is silent.
func (announcer *Announcer) Once(ctx context.Context) error {
	var last error
	for range announcer.config.Entries {
		silent, err := announcer.try(ctx)
		if err == nil || silent {
			return nil
		}
		last = err
		announcer.entry = (announcer.entry + 1) % len(announcer.config.Entries)
		announcer.stamp = clock.Stamp{}
	}
	return errors.Wrap(last, "announce")
}

func (announcer *Announcer) try(ctx context.Context) (silent bool, err error) {
	for range 2 {
		announcement, ok := announcer.config.Next()
		if !ok {
			return true, nil
		}
		body := announce{Announcement: announcement}
		if announcer.stamp != (clock.Stamp{}) {
			body.Echo = announcer.stamp.Advance(announcer.config.Now().Sub(announcer.stampAt))
		}
		var answer welcome
		err := announcer.config.Client.Send(ctx, http.MethodPost, announcer.config.Entries[announcer.entry], "/announce/v1/hosts", body, &answer)
		if err != nil {
			return false, err
		}
		announcer.stamp, announcer.stampAt = answer.Stamp, announcer.config.Now()
		if !answer.Again {
			return false, nil
		}
	}
	return false, errors.New("the entry host asked again twice")
}
