// Command keys takes an API key away and goes on to send requests with it, to a route that also
// takes requests without a key.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"carobline.dev/review/standins/lab"
)

const (
	host = "ficu95.example"
	desk = "order-desk"
	// keptKey stays with its tenant, takenKey is taken away, and strangeKey is never in a configuration.
	keptKey, takenKey, strangeKey = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
	requestTime                   = time.Second
	// afterRevocation is how long requests go on after the bound of the sheet.
	afterRevocation = 3 * time.Second
)

func main() { lab.Main(run) }

func configuration(version int, keys ...string) lab.Configuration {
	return lab.Configuration{
		Version: version,
		Routes: []lab.Route{
			{Name: "open", Host: host, PathPrefix: "/open/", Kind: "safe", TimeoutMS: 1000, TargetLatencyMS: 100, Priority: 2, Service: desk, Attempts: 2, AllowAnonymous: true},
			{Name: "keyed", Host: host, PathPrefix: "/keyed/", Kind: "safe", TimeoutMS: 1000, TargetLatencyMS: 100, Priority: 2, Service: desk, Attempts: 2},
		},
		Services: []lab.Service{{Name: desk, HealthPath: "/health", ConnectionLimit: 52, Protocol: "h1"}},
		Limits:   lab.DefaultLimits,
		Tenants:  []lab.Tenant{{Name: "hule930", APIKeys: keys, Priority: 1}},
	}
}

func run(test *lab.Case) (bool, error) {
	system, err := lab.Start(test.Record, lab.Config{Fronts: 2})
	if err != nil {
		return false, err
	}
	defer system.Stop()
	runs := lab.NewRuns()
	for index := range 3 {
		engine, err := system.StartEngine(lab.EngineConfig{
			ID: fmt.Sprintf("i-desk-%d", index+1), Service: desk, Zone: "toledo-yard", Address: fmt.Sprintf("127.77.2.%d", index+1), Slots: 6,
			Runs: runs, Serve: lab.AnswerAfter(15 * time.Millisecond),
		})
		if err != nil {
			return false, err
		}
		defer engine.Stop()
	}
	if _, err := system.Operator.Replace(test.Context, configuration(1, keptKey, takenKey)); err != nil {
		return false, err
	}
	client := system.NewClient(system.Fronts[0])
	defer client.Close()
	send := func(path, key string) (lab.Answer, []lab.Run) {
		id := lab.NewID()
		answer := client.Send(lab.Request{ID: id, Method: http.MethodGet, Path: path, Host: host, Key: key, Time: requestTime})
		ran := runs.Of(id)
		test.Record.Notef("GET %s with key %q: %d, %d runs, error %v", path, key, answer.Status, len(ran), answer.Err)
		return answer, ran
	}
	for _, front := range system.Fronts {
		client.Close()
		client = system.NewClient(front)
		if !lab.Until(test.Context, 20*time.Second, func() bool { answer, _ := send("/keyed/x", takenKey); return answer.Status == http.StatusOK }) {
			return false, errors.New("requests aren't served")
		}
	}
	next := configuration(5, keptKey, takenKey)
	if test.Trouble {
		next = configuration(5, keptKey)
	}
	acknowledged, err := system.Operator.Replace(test.Context, next)
	if err != nil {
		return false, err
	}
	late := acknowledged.Add(lab.RevokeTime)
	counts := map[string]int{}
	var lateRuns int
	for time.Since(late) < afterRevocation {
		for _, path := range []string{"/open/x", "/keyed/x"} {
			answer, ran := send(path, takenKey)
			if answer.SentAt.After(late) {
				counts[fmt.Sprintf("%s %d", path, answer.Status)]++
				if len(ran) > 0 && test.Trouble {
					lateRuns++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	test.Record.Printf("answers to the key sent later than %v after the acknowledgement, by path and status: %v", lab.RevokeTime, counts)
	answer, ran := send("/open/x", keptKey)
	test.Record.Printf("the kept key gets %d, %d runs", answer.Status, len(ran))
	if answer.Status != http.StatusOK {
		return false, errors.New("the key that stays isn't served")
	}
	test.Record.Printf("requests with a key that was taken away that ran too late: %d", lateRuns)
	if test.Trouble {
		answer, ran = send("/open/x", strangeKey)
		test.Record.Printf("a key that no configuration ever held gets %d, %d runs", answer.Status, len(ran))
	}
	return lateRuns > 0, nil
}
