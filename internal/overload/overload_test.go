package overload

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// rounds is how often a client of a crowd connects again after its connection was closed.
const rounds = 3

// staysOpen is how long a client holds its connection after the last byte that it sends
// or reads. It is above every time limit of the configuration.
const staysOpen = 20 * time.Second

// crowd is a number of clients that connect at once.
type crowd struct {
	clients sync.WaitGroup
	done    chan struct{}
}

// startCrowd runs n clients. Each calls use on a connection and then holds it open until
// the daemon closes it, for a bounded number of rounds. started is called after each use.
func startCrowd(addr string, n int, use func(c net.Conn, client, round int) error) *crowd {
	cr := &crowd{done: make(chan struct{})}
	for i := range n {
		cr.clients.Go(func() {
			for round := range rounds {
				c, err := net.DialTimeout("tcp", addr, 5*time.Second)
				if err != nil {
					continue
				}
				stop := make(chan struct{})
				go func() {
					select {
					case <-cr.done:
					case <-stop:
					}
					c.Close()
				}()
				if use(c, i, round) == nil {
					c.SetReadDeadline(time.Now().Add(staysOpen)) //nolint:errcheck // only a closed connection fails
					holdOpen(c)
				}
				close(stop)
			}
		})
	}
	return cr
}

// holdOpen waits until the peer closes the connection, and reads nothing meanwhile.
func holdOpen(c net.Conn) {
	end := time.Now().Add(staysOpen)
	for time.Now().Before(end) && c.SetWriteDeadline(end) == nil {
		time.Sleep(100 * time.Millisecond)
		if peerClosed(c) {
			return
		}
	}
}

// end closes the connections of the crowd and waits for its clients.
func (cr *crowd) end() {
	close(cr.done)
	cr.clients.Wait()
}

// chunkedHead returns the header of a client's order with a chunked body.
func chunkedHead(client, round int) []byte {
	return chunkedHeadOf(fmt.Sprintf("crowd-%d-%d", client, round))
}

func chunkedHeadOf(attempt string) []byte {
	req := &fasthttp.Request{}
	standin.Call{Attempt: attempt, Method: "POST", Host: callerHost, URI: "/order/1", Key: callerKey, Timeout: 20 * time.Second}.Write(req)
	req.Header.SetContentLength(-1)
	return req.Header.Header()
}

// crowdSettles is how long a crowd is left to itself before the ordinary request is sent.
const crowdSettles = 4 * time.Second

// Guards against a process that runs out of memory on chunked bodies: each client
// announces a large chunk, sends all but its end and stays open. Half of the bodies stay
// just below 32 KiB, which was not counted; the others are a little larger than half of
// maxBodyBytes, where a buffer that doubles is twice as large as its content.
func TestLargeChunksThatStopShortOfTheirEnd(t *testing.T) {
	const (
		clients = 1000
		first   = 16 << 10
		missing = 1 << 10
		// allAnnounced bounds the wait until all clients have announced their chunk.
		allAnnounced = 2 * time.Second
	)
	chunks := [2]int{31 << 10, 540 << 10} // maxBodyBytes is 1 MiB
	d := startDaemon(t, "127.31.1.1")
	data := bytes.Repeat([]byte("b"), chunks[1])
	var announced atomic.Int64
	all := make(chan struct{})
	cr := startCrowd(d.set.CallerListen, clients, func(c net.Conn, client, round int) error {
		chunk := chunks[client%2]
		_, err := c.Write(fmt.Appendf(chunkedHead(client, round), "%x\r\n%s", chunk, data[:first]))
		if announced.Add(1) == clients {
			close(all)
		}
		if err != nil {
			return err
		}
		select {
		case <-all:
		case <-time.After(allAnnounced): // some were refused
		}
		_, err = c.Write(data[first : chunk-missing])
		return err
	})
	time.Sleep(crowdSettles)
	d.awaitAnswer("beside large chunks")
	cr.end()
	d.assertBounds()
}

// Guards against the cost of a connection and a small body for each of very many clients,
// whose chunks have a few bytes each.
func TestSmallChunksThatStopShortOfTheirEnd(t *testing.T) {
	const (
		clients = 2500
		chunks  = 3800
		chunk   = "3\r\nabc\r\n"
	)
	d := startDaemon(t, "127.31.2.1")
	data := bytes.Repeat([]byte(chunk), chunks)
	cr := startCrowd(d.set.CallerListen, clients, func(c net.Conn, client, round int) error {
		_, err := c.Write(append(chunkedHead(client, round), data...))
		return err
	})
	time.Sleep(crowdSettles)
	d.awaitAnswer("beside small chunks")
	cr.end()
	d.assertBounds()
}

// Guards against answers that stay in memory while their callers read them slowly or not
// at all.
func TestLongAnswersThatAreReadSlowly(t *testing.T) {
	const (
		clients     = 48
		answerBytes = 4 << 20
		readBytes   = 1 << 10
		// receiveBuffer keeps the kernel from taking the answer for the caller.
		receiveBuffer = 4 << 10
	)
	d := startDaemon(t, "127.31.3.1")
	d.target.SetAnswerBytes(answerBytes)
	cr := startCrowd(d.set.CallerListen, clients, func(c net.Conn, client, round int) error {
		if err := c.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
			return err
		}
		req := &fasthttp.Request{}
		standin.Call{Attempt: fmt.Sprintf("crowd-%d-%d", client, round), Host: callerHost, URI: "/read/1", Key: callerKey, Timeout: 20 * time.Second}.Write(req)
		bw := bufio.NewWriter(c)
		if err := req.Write(bw); err != nil {
			return err
		}
		if err := bw.Flush(); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, readBytes))
		return err
	})
	time.Sleep(crowdSettles)
	d.target.SetAnswerBytes(0)
	d.awaitAnswer("beside slow readers")
	cr.end()
	d.assertBounds()
}

// Guards against bounds that refuse a caller inside the limits when there is no other
// load: a chunked body of maxBodyBytes, and an answer of 15 MiB, where 16 MiB is the most.
func TestSingleRequestsInsideTheLimitsAreServed(t *testing.T) {
	const (
		bodyBytes   = 1 << 20
		answerBytes = 15 << 20
	)
	d := startDaemon(t, "127.31.5.1")
	send := func(id string, bodyBytes int) *fasthttp.Response {
		c, err := net.Dial("tcp", d.set.CallerListen)
		assert.NilError(t, err)
		defer c.Close()
		_, err = c.Write(fmt.Appendf(chunkedHeadOf(id), "%x\r\n%s\r\n0\r\n\r\n", bodyBytes, bytes.Repeat([]byte("b"), bodyBytes)))
		assert.NilError(t, err, id)
		resp := &fasthttp.Response{}
		assert.NilError(t, resp.Read(bufio.NewReader(c)), id)
		return resp
	}
	assert.Equal(t, send("upload", bodyBytes).StatusCode(), 200)
	d.target.SetAnswerBytes(answerBytes)
	resp := send("answer", 1)
	assert.Equal(t, resp.StatusCode(), 200)
	assert.Equal(t, len(resp.Body()), answerBytes)
	d.assertBounds()
}

// The crowd's clients must see that the daemon has closed a connection although they do
// not read.
func TestPeerClosedIsSeenWithoutReading(t *testing.T) {
	l, err := net.Listen("tcp", "127.31.4.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	peer, err := l.Accept()
	assert.NilError(t, err)
	assert.Assert(t, !peerClosed(c))
	_, err = peer.Write([]byte("unread"))
	assert.NilError(t, err)
	assert.NilError(t, peer.Close())
	for deadline := time.Now().Add(awaitLimit); !peerClosed(c); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}
