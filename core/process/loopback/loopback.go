// Package loopback gives each test or measuring run a range of loopback addresses of its
// own. Nothing else listens at them: the kernel gives connections the IP 127.0.0.1 and
// ports above those of a range, and runs at the same time claim different ranges.
//
// # Usage
//
//	addresses, err := loopback.Claim()
//	defer addresses.Close()
//	ip := addresses.IP(0)              // 127.x.1.1
//	address := addresses.Address(0, 1) // 127.x.1.1:7392
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/go-faster/errors"

	"carobline.dev/core/step"
)

// PortCount is the number of ports of a range.
const PortCount = 4

const (
	// firstPort is the first port of a range. The ports are below those that the kernel
	// gives to connections and to listeners at port 0. As long as the range is claimed,
	// they are listened on at its first IP, so that no process can listen on them at all
	// IPs.
	firstPort = 7391
	// firstRange and rangeCount are the second octets of the ranges: 127.16.0.0 to
	// 127.239.0.0.
	firstRange = 16
	rangeCount = 224
	// ipsPerSubnet is how many addresses are used with each third octet.
	ipsPerSubnet = 250
)

// Range is the claimed loopback addresses with one second octet.
type Range struct {
	octet  int
	claims []net.Listener
}

// Claim claims a range that no other run has. The range is free again once it is closed
// or the process has ended.
func Claim() (*Range, error) {
	first := rand.IntN(rangeCount)
	var lastErr error
	for offset := range rangeCount {
		addresses := &Range{octet: firstRange + (first+offset)%rangeCount}
		if lastErr = addresses.claim(); lastErr == nil {
			return addresses, nil
		}
	}
	return nil, errors.Wrap(lastErr, "claim a range of loopback addresses")
}

// Test is what ClaimFor uses of a testing.TB.
type Test interface {
	Helper()
	Fatal(arguments ...any)
	Error(arguments ...any)
	Cleanup(function func())
}

// ClaimFor claims a range for a test until its end.
func ClaimFor(test Test) *Range {
	test.Helper()
	addresses, err := Claim()
	if err != nil {
		test.Fatal(err)
	}
	test.Cleanup(func() {
		if err := addresses.Close(); err != nil {
			test.Error(err)
		}
	})
	return addresses
}

// claim listens on all ports at the first IP of the range.
func (addresses *Range) claim() error {
	for port := range PortCount {
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", addresses.octet, firstPort+port))
		if err != nil {
			return errors.Join(err, addresses.Close())
		}
		addresses.claims = append(addresses.claims, claim)
	}
	return nil
}

// IP returns the IP with a number from 0 to 63,499.
func (addresses *Range) IP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", addresses.octet, 1+number/ipsPerSubnet, 1+number%ipsPerSubnet)
}

// Address returns the address of the IP with a number and of a port, which counts from 0
// to PortCount-1.
func (addresses *Range) Address(number, port int) string {
	return net.JoinHostPort(addresses.IP(number), strconv.Itoa(firstPort+port))
}

// Close gives the range up.
func (addresses *Range) Close() error {
	var err error
	for _, claim := range addresses.claims {
		err = errors.Join(err, claim.Close())
	}
	return step.Wrap(err, "give up a range of loopback addresses")
}
