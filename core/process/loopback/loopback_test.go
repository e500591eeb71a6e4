package loopback_test

import (
	"fmt"
	"net"
	"os"
	"testing"

	"carobline.dev/core/process/loopback"
)

// TestRunsAtTheSameTimeHaveOtherAddresses guards against two runs that disturb each other.
func TestRunsAtTheSameTimeHaveOtherAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		addresses := loopback.ClaimFor(t)
		for _, number := range []int{0, 249, 250, 63_499} {
			ip := addresses.IP(number)
			if seen[ip] {
				t.Errorf("address %s is used twice", ip)
			}
			seen[ip] = true
		}
	}
}

// Guards against addresses that a connection takes before the run listens there.
func TestPortsAreNotGivenToConnections(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	var lowest int
	if _, err := fmt.Sscan(string(text), &lowest); err != nil {
		t.Fatal(err)
	}
	addresses := loopback.ClaimFor(t)
	for port := range loopback.PortCount {
		address, err := net.ResolveTCPAddr("tcp", addresses.Address(0, port))
		if err != nil {
			t.Fatal(err)
		}
		if address.Port >= lowest {
			t.Errorf("port %d is one of those of connections, which begin at %d", address.Port, lowest)
		}
	}
}

// Guards against a listener at all IPs of the machine that takes a port of a claimed range.
func TestNothingListensOnThePortsAtAllIPs(t *testing.T) {
	addresses := loopback.ClaimFor(t)
	for port := range loopback.PortCount {
		_, number, err := net.SplitHostPort(addresses.Address(0, port))
		if err != nil {
			t.Fatal(err)
		}
		if socket, err := net.Listen("tcp4", "0.0.0.0:"+number); err == nil {
			_ = socket.Close()
			t.Errorf("port %s can be taken at all IPs", number)
		}
		own, err := net.Listen("tcp", addresses.Address(0, port))
		if err != nil {
			t.Errorf("the run can't listen at its own address: %v", err)
			continue
		}
		_ = own.Close()
	}
}
