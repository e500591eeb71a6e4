package entryapi_test

import (
	"net/http"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

// Guards against a budget of second sends that is used up by sends that aren't made, since
// there is no other endpoint.
func TestSecondSendThatIsNotMadeLeavesTheBudget(t *testing.T) {
	engines := &engines{events: 3}
	engines.script = func(number int, _ *http.Request) script { return script{refuses: number <= 2} }
	first, second := engines.service(t), engines.service(t)
	options := entryHostOptions{entryHosts: 1, leaseUntil: time.Now().Add(time.Hour), savedRetries: 1}
	entryHost := options.start(t, route(routing.RepeatStream), first, second)
	both := *entryHost.view.Load()
	entryHost.change(func(current *view.View) {
		current.Services = map[id.Service]*view.Set{"desk": view.NewSet(both.Services["desk"].Endpoints[:1])}
	})
	if got, err := call(t, entryHost.server, post("/a", "x")); err != nil || got.status == http.StatusOK {
		t.Fatalf("status %d, error %v; want a refusal", got.status, err)
	}
	const refusedEndpointRests = 1500 * time.Millisecond
	time.Sleep(refusedEndpointRests)
	entryHost.change(func(current *view.View) { current.Services = both.Services })
	got, err := call(t, entryHost.server, post("/a", "x"))
	engines.wantWhole(t, got, err)
}
