package h1

import (
	"github.com/pkg/errors"
)

var errBodyMemory = errors.New("the bodies of requests in progress use the memory set aside for them; the request has not run, try again later")

// smallBodyBytes is the size up to which a body is not counted, so that large ones
// cannot keep small ones out.
const smallBodyBytes = 32 << 10

// readBody reads the body of a request, whose memory is taken from the server's budget:
// at once if its length is known, and otherwise as it arrives.
func (c *conn) readBody(x *Exchange) (status int, err error) {
	length := x.Request.Header.ContentLength()
	if length > 0 && length <= c.limits.BodyBytes && !c.takeBody(x, int64(length)) {
		return statusOf(errBodyMemory), errBodyMemory
	}
	if length < 0 {
		c.metered, c.meterErr = x, nil
		defer func() { c.metered = nil }()
	}
	err = x.Request.ContinueReadBody(c.br, c.limits.BodyBytes, false)
	if err != nil && c.meterErr != nil {
		err = c.meterErr
	}
	if err != nil {
		x.Request.ResetBody()
		return statusOf(err), err
	}
	return 0, nil
}

// takeBody takes n further bytes of a body from the budget.
func (c *conn) takeBody(x *Exchange, n int64) bool {
	due := n
	if x.bodyBytes <= smallBodyBytes {
		due = x.bodyBytes + n // nothing has been taken yet
	}
	if x.bodyBytes+n > smallBodyBytes && !c.s.opts.Bodies.Take(due) {
		return false
	}
	x.bodyBytes += n
	return true
}

// releaseBody returns the memory of a body to the budget.
func (c *conn) releaseBody(x *Exchange) {
	if x.bodyBytes > smallBodyBytes {
		c.s.opts.Bodies.Release(x.bodyBytes)
	}
	x.bodyBytes = 0
}

// meteredReader reads from a connection and takes the bytes of a body in chunks from the
// budget.
type meteredReader struct{ *conn }

func (r meteredReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if r.metered != nil && n > 0 && !r.takeBody(r.metered, int64(n)) {
		r.meterErr = errBodyMemory
		return 0, errBodyMemory
	}
	return n, err
}
