package hostd

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/metrics"
)

func noAnswer(context.Context, datagram) datagram { return datagram{} }

// openDatagrams returns a connection that receives datagrams on an address.
func openDatagrams(t *testing.T, addr string) (d *datagramConn, stop func()) {
	t.Helper()
	d, err := newDatagramConn("self", addr, metrics.New(), noAnswer)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	stop = func() {
		d.close() // returns when the address is free
		cancel()
		assert.NilError(t, <-ended)
	}
	return d, stop
}

// receiveQuery reads a query from a socket.
func receiveQuery(t *testing.T, conn *net.UDPConn) (datagram, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, maxDatagramBytes)
	n, from, err := conn.ReadFromUDPAddrPort(buf)
	assert.NilError(t, err)
	var q datagram
	assert.NilError(t, json.Unmarshal(buf[:n], &q))
	return q, from
}

func sendAnswer(t *testing.T, conn *net.UDPConn, a datagram, to netip.AddrPort) {
	t.Helper()
	data, err := json.Marshal(a)
	assert.NilError(t, err)
	_, err = conn.WriteToUDPAddrPort(data, to)
	assert.NilError(t, err)
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// A host that had restarted took an answer to its earlier process, "not sent", for that of
// its own withdrawal, and told the caller that a running order had not run.
func TestAnswerToAnEarlierProcessIsNotTakenForAnother(t *testing.T) {
	addr := freeAddr(t, "127.0.0.1")
	peer := listenUDP(t)
	withdrawal := datagram{Kind: queryWithdraw, Name: "order"}

	earlier, stop := openDatagrams(t, addr)
	go earlier.query(context.Background(), peer.LocalAddr().String(), withdrawal) //nolint:errcheck // ends with its process
	old, _ := receiveQuery(t, peer)
	stop()

	later, stop := openDatagrams(t, addr)
	defer stop()
	answered := make(chan datagram, 1)
	go func() {
		a, err := later.query(context.Background(), peer.LocalAddr().String(), withdrawal)
		if err != nil {
			t.Log(err)
		}
		answered <- a
	}()
	q, from := receiveQuery(t, peer)
	sendAnswer(t, peer, datagram{ID: old.ID, Authoritative: true, Result: false}, from)
	sendAnswer(t, peer, datagram{ID: q.ID, Authoritative: true, Result: true}, from)
	assert.Assert(t, (<-answered).Result, "the withdrawal was answered by that of the earlier process")
}

// Only the address that was asked may answer: another process can have been given the
// address of the one that sent an answer's ID.
func TestAnswerOfAnotherAddressIsIgnored(t *testing.T) {
	d, stop := openDatagrams(t, freeAddr(t, "127.0.0.1"))
	defer stop()
	peer, other := listenUDP(t), listenUDP(t)
	answered := make(chan datagram, 1)
	go func() {
		a, err := d.query(context.Background(), peer.LocalAddr().String(), datagram{Kind: queryWithdraw})
		if err != nil {
			t.Log(err)
		}
		answered <- a
	}()
	q, from := receiveQuery(t, peer)
	sendAnswer(t, other, datagram{ID: q.ID, Authoritative: true, Result: false}, from)
	sendAnswer(t, peer, datagram{ID: q.ID, Authoritative: true, Result: true}, from)
	assert.Assert(t, (<-answered).Result, "the answer of another address was taken")
}

// A host that had been given the address of one that had gone answered in its place, so
// that the latter was taken to be alive.
func TestQueryForAnotherHostIsNotActedOn(t *testing.T) {
	asked := false
	successor, err := newDatagramConn("successor", freeAddr(t, "127.0.0.1"), metrics.New(), func(context.Context, datagram) datagram {
		asked = true
		return datagram{Result: true}
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- successor.run(ctx) }()
	asker, stop := openDatagrams(t, freeAddr(t, "127.0.0.1"))
	defer stop()
	_, err = asker.query(ctx, successor.conn.LocalAddr().String(), datagram{Kind: queryAlive, To: "gone"})
	assert.ErrorIs(t, err, errWrongHost)
	a, err := asker.query(ctx, successor.conn.LocalAddr().String(), datagram{Kind: queryAlive, To: "successor"})
	assert.NilError(t, err)
	cancel()
	assert.NilError(t, <-ended)
	assert.Assert(t, a.Result && asked)
}
