// Package freeport finds free TCP ports for the servers of tests.
package freeport

import (
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// firstPort is below the ephemeral port range. A port in that range can be taken by
// an outgoing connection, even one of the host itself, before the host listens on it.
const firstPort = 20000

// maxAttempts limits how many ports are tried, as other programs may use some.
const maxAttempts = 100

// dialTimeout limits the test of one port, which is on this machine.
const dialTimeout = time.Second

var portOffset atomic.Int64

// On returns an address on ip with a port on which nothing listens. No two calls in
// this process return the same port.
func On(ip string) (string, error) {
	for range maxAttempts {
		addr := net.JoinHostPort(ip, strconv.FormatInt(firstPort+portOffset.Add(1), 10))
		// A listener would live on for a moment in a child that is being started at the same
		// time, and keep the port from its user.
		c, err := net.DialTimeout("tcp", addr, dialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return addr, nil
		}
		if err == nil {
			c.Close()
		}
	}
	return "", errors.Errorf("no free port on %s after %d attempts; check what listens above port %d", ip, maxAttempts, firstPort)
}
