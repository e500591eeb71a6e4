package settings_test

import (
	"strings"
	"testing"

	"carobline.dev/caroblined/process/settings"
)

const validSettings = `{
  "node": "n1", "data_centre": "dc1",
  "listen": {"callers": "127.0.0.1:1", "hosts": "127.0.0.1:2", "operators": "127.0.0.1:3", "peers": "[::1]:4"},
  "data_folder": "/data",
  "peers": [{"node": "n1", "address": "127.0.0.1:4", "voter": true}],
  "models": [{"model": "m", "hosts": 2, "weight": 1}],
  "credentials": {
    "operators": [{"name": "o", "token_sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}],
    "announcers": [{"name": "a", "token_sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}],
    "peer_token_file": "p", "order_token_file": "o"
  }
}`

// TestInvalidSettings makes one change to valid settings per case, and checks that the
// error names the field and what is allowed.
func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name, old, changed string
		want               []string
	}{
		{"good", "", "", nil},
		{"unknown field", `"node": "n1", "data`, `"nodes": 1, "node": "n1", "data`, []string{"nodes"}},
		{"bad name", `"node": "n1", "data`, `"node": "N 1", "data`, []string{"node", `"N 1"`, "a-z"}},
		{"address by name", `"callers": "127.0.0.1:1"`, `"callers": "localhost:1"`, []string{"listen.callers", "localhost:1", "IP address"}},
		{"address without port", `"hosts": "127.0.0.1:2"`, `"hosts": "127.0.0.1"`, []string{"listen.hosts"}},
		{"voter without folder", `"data_folder": "/data",`, ``, []string{"data_folder", "voter"}},
		{"no voter", `, "voter": true`, ``, []string{"data_folder"}},
		{"not among peers", `[{"node": "n1", "add`, `[{"node": "n2", "add`, []string{"peers", "this node"}},
		{"group of no hosts", `"hosts": 2`, `"hosts": 0`, []string{"models[0].hosts", "1 or more"}},
		{"short hash", `"token_sha256": "aa`, `"token_sha256": "a`, []string{"token_sha256", "64"}},
		{"no operators", `"operators": [{`, `"operators": [], "announcers": [{`, []string{"credentials.operators"}},
		{"trailing data", `"order_token_file": "o"
  }
}`, `"order_token_file": "o"}} {}`, []string{"after"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validSettings, test.old, test.changed, 1)
			if test.old != "" && text == validSettings {
				t.Fatal("the change doesn't apply")
			}
			_, err := settings.Parse([]byte(text))
			if (err != nil) != (test.want != nil) {
				t.Fatalf("error %v, want one: %v", err, test.want != nil)
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q doesn't name %q", err, part)
				}
			}
		})
	}
}
