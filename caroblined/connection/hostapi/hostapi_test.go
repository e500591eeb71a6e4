package hostapi_test

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carobline.dev/caroblined/connection/hostapi"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/roster"
)

// Guards against an announcement that is used though no host can mean it: calls would go to
// an address where there is none, or all calls to the host with the most slots.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	handler := hostapi.New(nil, []rest.Credential{{Name: "hosts", TokenSHA256: rest.HashToken("token")}}, rest.Intake{}).Handler()
	for name, change := range map[string]func(*roster.Announcement){
		"port 0":              func(announcement *roster.Announcement) { announcement.Address = "10.0.0.1:0" },
		"port 65536":          func(announcement *roster.Announcement) { announcement.Address = "10.0.0.1:65536" },
		"the name of a port":  func(announcement *roster.Announcement) { announcement.Address = "10.0.0.1:http" },
		"slots of 2^62":       func(announcement *roster.Announcement) { announcement.Load.Slots = 1 << 62 },
		"negative slots":      func(announcement *roster.Announcement) { announcement.Load.Slots = -1 },
		"negative calls":      func(announcement *roster.Announcement) { announcement.Load.Running = math.MinInt },
		"calls of 2^63-1":     func(announcement *roster.Announcement) { announcement.Load.Queued = math.MaxInt },
		"a control character": func(announcement *roster.Announcement) { announcement.Host = "h\n1" },
		"a long model": func(announcement *roster.Announcement) {
			announcement.Staged = []id.Model{id.Model(strings.Repeat("m", 1000))}
		},
		"thousands of models": func(announcement *roster.Announcement) { announcement.Loaded = make([]id.Model, 5000) },
		"a lease that wraps":  func(announcement *roster.Announcement) { announcement.LeaseMS += 1 << 58 },
	} {
		announcement := roster.Announcement{
			Host: "h1", Incarnation: 1, Sequence: 1, Address: "10.0.0.1:80", DataCentre: "dc", Service: "desk", LeaseMS: 4000, Load: roster.Load{Slots: 4},
		}
		change(&announcement)
		body, err := json.Marshal(hostapi.Announce{Announcement: announcement})
		if err != nil {
			t.Fatal(err)
		}
		request := httptest.NewRequest(http.MethodPost, "/announce/v1/hosts", bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer token")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusBadRequest || !strings.Contains(recorder.Body.String(), "bad_announcement") {
			t.Errorf("%s: %d %s", name, recorder.Code, recorder.Body)
		}
	}
}
