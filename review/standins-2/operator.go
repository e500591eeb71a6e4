package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// object is a part of a JSON body.
type object map[string]any

// Operator is the stand-in of an operator. It sends a call again to the next node until it is answered.
type Operator struct {
	system *System
	next   int
}

func post(path string, body []byte) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", path, len(body), body)
}

// Replace sends a configuration until it is acknowledged or refused, and returns the status.
func (operator *Operator) Replace(ctx context.Context, configuration object) (int, error) {
	body, err := json.Marshal(configuration)
	if err != nil {
		return 0, err
	}
	return operator.ReplaceText(ctx, fmt.Sprint(configuration["version"]), body)
}

// ReplaceText is Replace for an encoded configuration.
func (operator *Operator) ReplaceText(ctx context.Context, version string, body []byte) (int, error) {
	for ctx.Err() == nil {
		core := operator.system.cores[operator.next%len(operator.system.cores)]
		timeout := time.Second + time.Duration(len(body)/1000)*time.Millisecond
		got, err := exchange(core.control(), post(wire("replace_path"), body), timeout)
		switch {
		case err != nil:
			operator.system.record.Printf("operator: version %s to %s: %v", version, core.name, err)
		case got.status < 500 && got.status != 408 && got.status != 429:
			operator.system.record.Printf("operator: version %s to %s: status %d", version, core.name, got.status)
			return got.status, nil
		default:
			operator.system.record.Printf("operator: version %s to %s: status %d", version, core.name, got.status)
		}
		operator.next++
		time.Sleep(100 * time.Millisecond)
	}
	return 0, ctx.Err()
}

// Read reads the configuration at one node.
func (operator *Operator) Read(core *Process) (int, []byte, error) {
	got, err := exchange(core.control(), "GET "+wire("read_path")+" HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n", 2*time.Second)
	if err != nil {
		return 0, nil, err
	}
	return got.status, got.body, got.bodyErr
}

// deskConfiguration returns a configuration with one plain service and a route to it.
func deskConfiguration(version int, prefix, kind string, extra ...object) object {
	routes := []object{{
		"name": "r-desk", "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, wire("target"): 300,
		"priority": 1, "service": "order-desk", "attempts": 2, wire("anonymous"): true, "session_affinity": false, "resumable": false,
	}}
	routes = append(routes, extra...)
	return object{
		"version": version, "routes": routes,
		"services": []object{{"name": "order-desk", "health_path": "/health", "connection_limit": 52, "protocol": "h1", "tls": false}},
		"limits":   object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []object{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}
