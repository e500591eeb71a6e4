package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callTimeout is how long a caller of control waits for an answer before it asks another node.
const callTimeout = time.Second

// Operator is a stand-in for the operator: it sends a configuration again, unchanged, to one node
// after another until it gets a clear answer.
type Operator struct{ system *System }

// Route is a route of a configuration.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"@target"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
	AllowAnonymous  bool   `json:"@anonymous"`
	SessionAffinity bool   `json:"session_affinity"`
	Resumable       bool   `json:"resumable,omitempty"`
	GapTargetMS     int    `json:"@gap,omitempty"`
}

// Service is a service of a configuration.
type Service struct {
	Name            string      `json:"name"`
	HealthPath      string      `json:"health_path"`
	ConnectionLimit int         `json:"connection_limit"`
	Protocol        string      `json:"protocol"`
	TLS             bool        `json:"tls"`
	Engine          *EngineSpec `json:"engine,omitempty"`
}

// EngineSpec holds the published times of a service's engines, and its models.
type EngineSpec struct {
	Slots            int     `json:"slots"`
	KVCapacityTokens int     `json:"kv_capacity_tokens"`
	Stride           int     `json:"stride"`
	Models           []Model `json:"models"`
	StepMS           float64 `json:"step_ms"`
	PerSeqMS         float64 `json:"per_seq_ms"`
	ContextPerK      float64 `json:"context_per_k"`
	ReadPerS         float64 `json:"read_per_s"`
	Chunk            int     `json:"chunk"`
	LoadsPerS        float64 `json:"loads_per_s"`
	LoadsAtOnce      int     `json:"loads_at_once"`
	RetentionCount   int     `json:"retention_count"`
	FarX             float64 `json:"far_x"`
	FormMS           float64 `json:"form_ms"`
}

// Model is a model of a service of engines.
type Model struct {
	Name    string  `json:"name"`
	Size    int     `json:"size"`
	Share   float64 `json:"share"`
	Pace    float64 `json:"pace"`
	LoadS   float64 `json:"load_s"`
	WarmupS float64 `json:"warmup_s"`
}

// Tenant is a client account of a configuration.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// DefaultLimits are those of the deployments' sheets.
var DefaultLimits = Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}

// Configuration is a complete configuration.
type Configuration struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Replace sends a configuration until it is acknowledged, and returns when that was.
func (operator *Operator) Replace(ctx context.Context, configuration any) (time.Time, error) {
	body, err := encode(configuration)
	if err != nil {
		return time.Time{}, err
	}
	operator.system.Record.Notef("the operator sends %s", body)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		node := operator.system.Cores[attempt%len(operator.system.Cores)]
		status, text, err := call(ctx, http.MethodPost, "http://"+node.Control()+Name("replace_path"), body)
		switch {
		case err == nil && status == http.StatusOK:
			operator.system.Record.Printf("%s acknowledged the configuration", node.Name)
			return time.Now(), nil
		case err == nil && status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return time.Time{}, fmt.Errorf("%s refused the configuration: %d %s", node.Name, status, text)
		}
		time.Sleep(min(time.Second, 50*time.Millisecond<<min(attempt, 4)))
	}
	return time.Time{}, errors.New("no node acknowledged the configuration")
}

// Read asks one node for the newest configuration.
func (operator *Operator) Read(ctx context.Context, node *Process) (status int, body string, err error) {
	return call(ctx, http.MethodGet, "http://"+node.Control()+Name("read_path"), nil)
}

func call(ctx context.Context, method, url string, body []byte) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// controlClient opens a connection for each call, so that none is stale.
var controlClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext,
}}

// SendForeign lets another writer send one heartbeat under the id of an engine. The writer is no
// engine of any service: its service isn't named in a configuration, and it started just now.
func (system *System) SendForeign(ctx context.Context, node *Process, id, service, address string) error {
	body, err := encode(map[string]any{
		"service": service, "address": address, "zone": "toledo-yard", "version": "v7", "slots": 4, "state": "ready",
		"@cold": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	status, text, err := call(ctx, http.MethodPost, "http://"+node.Control()+Name("instances_path")+id+"/heartbeat", body)
	system.Record.Printf("another writer's heartbeat under the id %s: %s: %d %s", id, body, status, text)
	return err
}
