// Package loopback gives each run a range of loopback addresses of its own, so that runs
// at the same time don't use the same addresses.
//
// # Usage
//
//	addresses, err := loopback.Claim()
//	defer addresses.Close()
//	ip := addresses.IP(0) // 127.x.1.1
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"

	"carobline.dev/core/step"
)

const (
	// claimPort is listened on at the first address of a range for as long as the range
	// is claimed. It is below the ports that the kernel gives to connections.
	claimPort = 7391
	// firstRange and rangeCount are the second octets of the ranges: 127.16.0.0 to
	// 127.239.0.0.
	firstRange = 16
	rangeCount = 224
	// ipsPerSubnet is how many addresses are used with each third octet.
	ipsPerSubnet = 250
)

// Range is the claimed loopback addresses with one second octet.
type Range struct {
	octet int
	claim net.Listener
}

// Claim claims a range that no other run has. The range is free again once it is closed
// or the process has ended.
func Claim() (*Range, error) {
	first := rand.IntN(rangeCount)
	var lastErr error
	for offset := range rangeCount {
		octet := firstRange + (first+offset)%rangeCount
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, claimPort))
		if err == nil {
			return &Range{octet: octet, claim: claim}, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "claim a range of loopback addresses")
}

// IP returns the address with a number from 0 to 63,499.
func (addresses *Range) IP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", addresses.octet, 1+number/ipsPerSubnet, 1+number%ipsPerSubnet)
}

// FreeAddress returns the address with a number and a port that is free there.
func (addresses *Range) FreeAddress(number int) (string, error) {
	socket, err := net.Listen("tcp", net.JoinHostPort(addresses.IP(number), "0"))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	return socket.Addr().String(), step.Wrap(socket.Close(), "close the listener of a free port")
}

// Close gives the range up.
func (addresses *Range) Close() error {
	return step.Wrap(addresses.claim.Close(), "give up a range of loopback addresses")
}
