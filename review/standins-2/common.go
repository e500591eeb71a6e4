package main

import (
	"context"
	"fmt"
	"time"
)

// deployment is a running system with an operator and servers of the plain service.
type deployment struct {
	system    *System
	operator  *Operator
	endpoints []*Endpoint
}

// deploy starts five core and so many front processes, and as many servers, and puts a configuration in force.
func (run *caseRun) deploy(ctx context.Context, fronts, endpoints int, configuration object) (*deployment, error) {
	system, err := NewSystem(run.record, run.program, 5, fronts)
	if err != nil {
		return nil, err
	}
	deployment := &deployment{system: system, operator: &Operator{system: system}}
	if err := deployment.start(ctx, endpoints, configuration); err != nil {
		deployment.Close()
		return nil, err
	}
	return deployment, nil
}

func (deployment *deployment) start(ctx context.Context, endpoints int, configuration object) error {
	system := deployment.system
	if err := system.Start(); err != nil {
		return err
	}
	if status, err := deployment.operator.Replace(ctx, configuration); err != nil || status != 200 {
		return fmt.Errorf("the first configuration: status %d, %w", status, err)
	}
	for index := range endpoints {
		endpoint, err := NewEndpoint(system, index, fmt.Sprintf("i-%08x", 0x7f3a91c2+index*0x1b3d))
		if err != nil {
			return err
		}
		endpoint.next = index
		deployment.endpoints = append(deployment.endpoints, endpoint)
		go endpoint.Beat()
	}
	for _, front := range system.fronts {
		if err := front.AwaitReady(ctx); err != nil {
			return err
		}
	}
	system.bootstrap = false
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// Close ends everything.
func (deployment *deployment) Close() {
	for _, endpoint := range deployment.endpoints {
		endpoint.Close()
	}
	deployment.system.Close()
}

// request returns the bytes of a client's request on a connection of its own.
func request(method, target, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\n%s: 1400\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, target, id, wire("time_left"), len(body), body)
}

// send sends one request of a client to a front process and records the answer.
func (deployment *deployment) send(front *Process, method, target, id, body string) (*answer, error) {
	deployment.system.record.Printf("client sends %s to %s: %s %s", id, front.name, method, target)
	got, err := exchange(front.front(), request(method, target, id, body), 3*time.Second)
	if err != nil {
		deployment.system.record.Printf("client: %s: %v", id, err)
		return nil, err
	}
	deployment.system.record.Printf("client: %s: status %d, body %.60q", id, got.status, got.body)
	return got, nil
}
