package freeport

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against ports that cannot be listened on while other goroutines start processes.
func TestPortIsFreeWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					exec.Command("true").Run() //nolint:errcheck // only its start matters
				}
			}
		})
	}
	var listeners []net.Listener
	busy := 0
	for range 2000 {
		addr, err := On("127.9.9.8")
		assert.NilError(t, err)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			busy++
			continue
		}
		listeners = append(listeners, l)
	}
	close(stop)
	starts.Wait()
	for _, l := range listeners {
		l.Close()
	}
	assert.Equal(t, busy, 0, "ports that were not free")
}

func TestPortInUseIsPassedOver(t *testing.T) {
	const ip = "127.9.9.7"
	first, err := On(ip)
	assert.NilError(t, err)
	_, port, err := net.SplitHostPort(first)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
	assert.NilError(t, err)
	defer l.Close()
	portOffset.Add(-1)
	second, err := On(ip)
	assert.NilError(t, err)
	assert.Assert(t, second != first)
}
