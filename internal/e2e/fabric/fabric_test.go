package fabric

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const readTimeout = 200 * time.Millisecond

// startEchoServer echoes each line and also sends it to lines.
func startEchoServer(t *testing.T) (addr string, lines chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	lines = make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				scan := bufio.NewScanner(c)
				for scan.Scan() {
					lines <- scan.Text()
					_, _ = io.WriteString(c, scan.Text()+"\n")
				}
			}()
		}
	}()
	return l.Addr().String(), lines
}

func setup(t *testing.T) (addr string, f *Fabric, lines chan string) {
	t.Helper()
	f = New()
	t.Cleanup(f.Close)
	f.AddHost("a", "127.9.0.1")
	f.AddHost("c", "127.9.0.3")
	addr, err := f.Advertise("b", "rpc", "127.9.0.2")
	assert.NilError(t, err)
	upstream, lines := startEchoServer(t)
	f.SetUpstream("b", "rpc", upstream)
	return addr, f, lines
}

func dial(t *testing.T, from, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends a line and reports whether its echo arrived in time.
func roundTrip(t *testing.T, c net.Conn) bool {
	t.Helper()
	_, err := io.WriteString(c, "x\n")
	if err != nil {
		return false
	}
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(readTimeout)))
	_, err = io.ReadFull(c, make([]byte, 2))
	return err == nil
}

func TestPartitionAffectsOnlyTheNamedLink(t *testing.T) {
	addr, f, lines := setup(t)
	a, c := dial(t, "127.9.0.1", addr), dial(t, "127.9.0.3", addr)
	assert.Assert(t, roundTrip(t, a))
	f.Partition("a", "b", BothWays)
	assert.Assert(t, !roundTrip(t, a))
	assert.Assert(t, !roundTrip(t, dial(t, "127.9.0.1", addr)), "a new connection is partitioned as well")
	assert.Assert(t, roundTrip(t, c))
	assert.Equal(t, len(lines), 2)
	f.Heal("a", "b")
	assert.Assert(t, roundTrip(t, dial(t, "127.9.0.1", addr)))
}

func TestOneWayPartitionDropsOnlyBytesOfTheSource(t *testing.T) {
	for _, c := range []struct {
		from, to string
		arrived  int
	}{{"a", "b", 0}, {"b", "a", 1}} {
		t.Run(c.from, func(t *testing.T) {
			addr, f, lines := setup(t)
			conn := dial(t, "127.9.0.1", addr)
			f.Partition(c.from, c.to, OneWay)
			assert.Assert(t, !roundTrip(t, conn))
			assert.Equal(t, len(lines), c.arrived)
		})
	}
}

func TestDelayedBytesArriveLate(t *testing.T) {
	addr, f, lines := setup(t)
	f.Delay("a", "b", int(2*readTimeout/time.Millisecond))
	assert.Assert(t, !roundTrip(t, dial(t, "127.9.0.1", addr)))
	assert.Equal(t, <-lines, "x")
}

func TestBlackholeLeavesNewConnectionsWorking(t *testing.T) {
	addr, f, _ := setup(t)
	old := dial(t, "127.9.0.1", addr)
	assert.Assert(t, roundTrip(t, old))
	f.Blackhole("a", "b")
	assert.Assert(t, !roundTrip(t, old))
	assert.Assert(t, roundTrip(t, dial(t, "127.9.0.1", addr)))
}

func TestSetUpstreamRedirectsNewConnections(t *testing.T) {
	addr, f, first := setup(t)
	assert.Assert(t, roundTrip(t, dial(t, "127.9.0.1", addr)))
	upstream, second := startEchoServer(t)
	f.SetUpstream("b", "rpc", upstream)
	assert.Assert(t, roundTrip(t, dial(t, "127.9.0.1", addr)))
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(second), 1)
}
