package hostd

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallsOfStoppingHostsReachNoServerOfAnotherTest(t *testing.T) {
	var f *testFleet
	t.Run("fleet", func(t *testing.T) {
		f = newFleet(t, 4)
		f.freeze("host-1", "host-2")
		time.Sleep(3 * time.Second) // the hosts lose their connections to the store
	})
	addr := f.store.Addr()
	_, err := net.Listen("tcp", addr)
	assert.Assert(t, err != nil, "the port of the store is free while hosts call it")
	f.running.Wait()
	deadline := time.Now().Add(5 * time.Second)
	for {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			l.Close()
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "the store still listens: %v", err)
		time.Sleep(10 * time.Millisecond)
	}
}
