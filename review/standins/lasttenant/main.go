// Command lasttenant takes the keys of the last tenant away, with its entry, and goes on to send
// requests with one of them.
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
	// takenKey is taken away, and strangeKey is never in a configuration.
	takenKey, strangeKey = "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
	requestTime          = time.Second
	// afterRevocation is how long requests go on after the bound of the sheet.
	afterRevocation = 3 * time.Second
)

func main() { lab.Main(run) }

func configuration(version int, tenants ...lab.Tenant) lab.Configuration {
	return lab.Configuration{
		Version: version,
		Routes: []lab.Route{
			{Name: "keyed", Host: host, PathPrefix: "/keyed/", Kind: "safe", TimeoutMS: 1000, TargetLatencyMS: 100, Priority: 2, Service: desk, Attempts: 2},
		},
		Services: []lab.Service{{Name: desk, HealthPath: "/health", ConnectionLimit: 52, Protocol: "h1"}},
		Limits:   lab.DefaultLimits,
		Tenants:  append([]lab.Tenant{}, tenants...),
	}
}

func run(test *lab.Case) (bool, error) {
	tenant := lab.Tenant{Name: "hule930", APIKeys: []string{takenKey}, Priority: 1}
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
	if _, err := system.Operator.Replace(test.Context, configuration(1, tenant)); err != nil {
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
	next := configuration(5, tenant)
	if test.Trouble {
		next = configuration(5)
	}
	acknowledged, err := system.Operator.Replace(test.Context, next)
	if err != nil {
		return false, err
	}
	late := acknowledged.Add(lab.RevokeTime)
	counts := map[int]int{}
	var lateRuns int
	for time.Since(late) < afterRevocation {
		answer, ran := send("/keyed/x", takenKey)
		if answer.SentAt.After(late) {
			counts[answer.Status]++
			if len(ran) > 0 && test.Trouble {
				lateRuns++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	test.Record.Printf("answers to the key sent later than %v after the acknowledgement, by status: %v", lab.RevokeTime, counts)
	test.Record.Printf("requests with a key that was taken away that ran too late: %d", lateRuns)
	if test.Trouble {
		answer, ran := send("/keyed/x", strangeKey)
		test.Record.Printf("a key that no configuration ever held gets %d, %d runs", answer.Status, len(ran))
	}
	return lateRuns > 0, nil
}
