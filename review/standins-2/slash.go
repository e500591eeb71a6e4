package main

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"
)

func init() { plays["slash"] = playSlash }

// playSlash sends requests whose paths begin with two slashes, which the prefix / of their route begins, and looks at
// what the servers run. Without the trouble they begin with one slash.
func playSlash(ctx context.Context, run *caseRun) (bool, error) {
	deployment, err := run.deploy(ctx, 2, 2, deskConfiguration(1, "/", "unsafe"))
	if err != nil {
		return false, err
	}
	defer deployment.Close()
	sent := map[string]string{}
	for number, target := range []string{"//orders/17", "//orders/17?copy=1", "//a//b", "//127.0.0.1/x"} {
		if !run.trouble {
			target = target[1:]
		}
		id := fmt.Sprintf("s%d", number)
		sent[id] = target
		if _, err := deployment.send(deployment.system.fronts[number%2], "POST", target, id, "order"); err != nil {
			return false, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	ran, changed := 0, 0
	for _, endpoint := range deployment.endpoints {
		for _, request := range endpoint.Runs() {
			ran++
			if path := pathOf(request.uri); path != pathOf(sent[request.id]) || request.uri != sent[request.id] {
				changed++
				run.record.Printf("%s was sent with the path %s, and the server ran the target %s, whose path is %s", request.id, pathOf(sent[request.id]), request.uri, path)
			}
		}
	}
	run.record.Printf("%d of %d requests ran with another path than the client's", changed, ran)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}

// pathOf returns the path of a request's target by RFC 9112, section 3.2: the target without its query, and without
// scheme and authority if it has them.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(path, "/") {
		if parsed, err := url.Parse(path); err == nil {
			return parsed.EscapedPath()
		}
	}
	return path
}
