package main

import (
	"context"
	"fmt"
)

func init() { plays["options"] = playOptions }

// playOptions asks each front process for the options of the whole server, which no route matches. Without the
// trouble it asks for those of a path that a route matches.
func playOptions(ctx context.Context, run *caseRun) (bool, error) {
	deployment, err := run.deploy(ctx, 2, 2, deskConfiguration(1, "/desk/", "unsafe"))
	if err != nil {
		return false, err
	}
	defer deployment.Close()
	target := "*"
	if !run.trouble {
		target = "/desk/1"
	}
	answered, unsealed := 0, 0
	for number := range 4 {
		got, err := deployment.send(deployment.system.fronts[number%2], "OPTIONS", target, fmt.Sprintf("o%d", number), "")
		if err != nil {
			return false, err
		}
		answered++
		if got.status/100 == 2 && got.header.Get("Response-Seal") == "" {
			unsealed++
		}
	}
	ran := 0
	for _, endpoint := range deployment.endpoints {
		ran += len(endpoint.Runs())
	}
	run.record.Printf("%d of %d answers are a success without a server's seal; the servers ran %d requests", unsealed, answered, ran)
	return unsealed > 0, nil
}
