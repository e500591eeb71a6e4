package run

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"carobline.dev/fakeengine/process/engine"
	"carobline.dev/soak/process/plan"
	"carobline.dev/soak/process/proxy"
)

// engineFaultByWay are the ways in which engines answer falsely.
var engineFaultByWay = map[string]engine.Faults{
	"silent": {Silent: true}, "cut": {CutAfter: 3}, "garbage": {Garbage: true}, "end_early": {EndEarly: true}, "hang": {Hang: true}, "slow": {Slow: 20},
	"old_refusal": {OldRefusal: true}, "nameless_refusal": {NamelessRefusal: true}, "refuse": {Refuse: true}, "wrong_request": {WrongRequest: true},
}

func engineWays() []string { return slices.Sorted(maps.Keys(engineFaultByWay)) }

// do does one event and returns once it is over. Operators give up when ctx is cancelled.
func (soak *soak) do(ctx context.Context, event plan.Event) {
	log := soak.log.With().Str("kind", string(event.Kind)).Str("target", event.Target).Str("way", event.Way).Dur("for", event.For).Logger()
	log.Info().Msg("event begins")
	defer func() { log.Info().Msg("event is over") }()
	var err error
	switch event.Kind {
	case plan.Kill:
		err = soak.cluster.Process(event.Target).Restart(syscall.SIGKILL, event.For)
	case plan.Terminate:
		err = soak.cluster.Process(event.Target).Restart(syscall.SIGTERM, event.For)
	case plan.Pause:
		soak.cluster.Process(event.Target).Pause(event.For)
	case plan.Link:
		link := soak.cluster.Link(event.Target)
		link.SetFault(proxy.Fault{Kind: proxy.Kind(event.Way), Delay: event.Delay})
		time.Sleep(event.For)
		link.SetFault(proxy.Fault{})
	case plan.EngineFault:
		soak.setEngineFault(event.Target, engineFaultByWay[event.Way])
		time.Sleep(event.For)
		soak.setEngineFault(event.Target, engine.Faults{})
	case plan.Rotate:
		soak.operators.Rotate(ctx)
	case plan.Retire:
		soak.operators.Retire(ctx)
	case plan.Tune:
		soak.operators.Tune(ctx)
	case plan.StopHost:
		soak.operators.StopHost(ctx, event.Target)
		time.Sleep(event.For)
		err = soak.cluster.Process(event.Target).Restart(syscall.SIGTERM, 0)
	case plan.StopNode:
		soak.cluster.Process(event.Target).AllowEnd()
		soak.operators.StopNode(ctx, event.Target)
		time.Sleep(event.For)
		err = soak.cluster.Process(event.Target).Restart(syscall.SIGTERM, 0)
	}
	if err != nil {
		log.Error().Err(err).Msg("event failed")
	}
}

// setEngineFault sets how an engine answers. One that isn't there answers rightly once it is.
func (soak *soak) setEngineFault(host string, faults engine.Faults) {
	const timeout = 5 * time.Second
	body, err := json.Marshal(faults)
	if err != nil {
		panic(err) // the faults are our own
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(soak.cluster.EngineURL(host)+"/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		soak.log.Info().Str("target", host).Err(err).Msg("the engine's faults can't be set")
		return
	}
	_ = response.Body.Close()
}
