package h1

import (
	"bufio"
	"time"
)

// keepBuffers is how long a connection keeps its buffers after a request. Callers that
// send without a pause need no new ones, and idle connections hold none: with 1,200 hosts
// the buffers of other daemons' idle connections alone would take 33 MB.
const keepBuffers = time.Second

// readFirst reads the first byte of a request on a connection without buffers.
func (c *conn) readFirst() error {
	_, err := c.Conn.Read(c.first[:])
	c.hasFirst = err == nil
	return err
}

// takeBuffers takes the buffers of a connection. It returns false if there is no memory
// for them.
func (c *conn) takeBuffers() bool {
	if (meter{c.buffers}).Grow(int64(c.limits.HeaderBytes)+writeBufferBytes) != nil {
		return false
	}
	br, ok := c.s.readers.Get().(*bufio.Reader)
	if !ok || br.Size() != c.limits.HeaderBytes {
		br = bufio.NewReaderSize(pacedReader{c}, c.limits.HeaderBytes)
	}
	bw, ok := c.s.writers.Get().(*bufio.Writer)
	if !ok {
		bw = bufio.NewWriterSize(pacedWriter{c}, writeBufferBytes)
	}
	br.Reset(pacedReader{c})
	bw.Reset(pacedWriter{c})
	c.br = br
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.bw = bw
	return true
}

// dropBuffers returns the buffers of a connection on which no request is unanswered.
func (c *conn) dropBuffers() {
	if c.br == nil {
		return
	}
	c.br.Reset(nil)
	c.s.readers.Put(c.br)
	c.br = nil
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.bw.Reset(nil)
	c.s.writers.Put(c.bw)
	c.bw = nil
	c.buffers.Shrink(c.buffers.Bytes())
}
