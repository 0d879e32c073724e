// Package freeport finds ports for the servers of tests.
package freeport

import (
	"net"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// firstPort is below the ports that the system gives to outgoing connections: one
// of a host's own connections once took a port that it was about to listen on.
const firstPort = 20000

// tries bounds the search; other programs may have some of the ports.
const tries = 100

var next atomic.Int64

// On returns an address of an IP on which nothing listens. No other call in this
// process returns the same port.
func On(ip string) (string, error) {
	for range tries {
		addr := net.JoinHostPort(ip, strconv.FormatInt(firstPort+next.Add(1), 10))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.Errorf("no free port on %s; see what listens from port %d on", ip, firstPort)
}
