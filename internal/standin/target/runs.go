package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/answer"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
)

// beginRun records the start of a run.
func (t *Target) beginRun(r *http.Request, body []byte, f Faults) record.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	run := record.Run{
		Target:           t.opts.Name,
		Incarnation:      t.incarnation,
		Seq:              t.seq,
		RequestID:        r.Header.Get("X-Request-Id"),
		Attempt:          r.Header.Get(attemptHeader),
		Workspace:        r.Header.Get(workspaceHeader),
		Method:           r.Method,
		Path:             r.URL.Path,
		Headers:          headerNames(r.Header),
		KeySeen:          containsSecret(r, body, t.secrets),
		Start:            time.Now(),
		Concurrent:       t.inFlight,
		ConcurrencyLimit: f.ConcurrencyLimit,
	}
	t.seq++
	t.runs = append(t.runs, run)
	t.writeRecord(run)
	return run
}

// finishRun records how a run ended.
func (t *Target) finishRun(run record.Run, outcome record.Outcome) {
	run.End = time.Now()
	run.Outcome = outcome
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.runs[run.Seq] = run
	t.writeRecord(run)
}

func (t *Target) writeRecord(run record.Run) {
	if t.opts.Log == nil {
		return
	}
	if err := t.opts.Log.Write(run); err != nil {
		panic(err) // a test is invalid if its record is incomplete
	}
}

func headerNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// containsSecret reports whether the URL, the header fields or the body contain
// one of the secrets.
func containsSecret(r *http.Request, body []byte, secrets []string) bool {
	var all strings.Builder
	all.WriteString(r.RequestURI)
	for name, values := range r.Header {
		all.WriteString(name + ":" + strings.Join(values, ",") + "\n")
	}
	all.Write(body)
	for _, s := range secrets {
		if s != "" && strings.Contains(all.String(), s) {
			return true
		}
	}
	return false
}

// sendTruncated writes half of the body and closes the connection.
func sendTruncated(w http.ResponseWriter, how Truncation, resp response) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	half := resp.body[:len(resp.body)/2]
	if how == TruncateChunked {
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			attemptHeader, resp.attempt, len(half), half)
	} else {
		writeHeader(buf, resp)
		_, _ = buf.Write(half) // Flush returns the error
	}
	_ = buf.Flush() // the connection is closed next either way
}

func writeHeader(w io.Writer, p response) {
	fmt.Fprintf(w, "HTTP/1.1 %d OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", p.status, attemptHeader, p.attempt, len(p.body))
}

// sendWithExtra writes the response and an extra one after it. It then
// continues to serve the connection, on which each later request gets the
// response before its own.
func (t *Target) sendWithExtra(w http.ResponseWriter, resp response) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	extra := response{http.StatusOK, "stray", answer.Body("stray", 0)}
	for _, p := range []response{resp, extra} {
		writeHeader(buf, p)
		_, _ = buf.Write(p.body) // Flush returns the error
	}
	if buf.Flush() != nil {
		conn.Close()
		return
	}
	go t.serveDesynchronized(conn, buf)
}

// serveDesynchronized records and responds to the remaining requests on a
// connection that carries an extra response, until the peer closes it.
func (t *Target) serveDesynchronized(conn net.Conn, buf *bufio.ReadWriter) {
	defer conn.Close()
	for {
		req, err := http.ReadRequest(buf.Reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
		if err != nil {
			return
		}
		run := t.beginRun(req, body, Faults{})
		resp := response{http.StatusOK, run.Attempt, answer.Body(run.RequestID, 0)}
		writeHeader(buf, resp)
		_, _ = buf.Write(resp.body) // Flush returns the error
		err = buf.Flush()
		t.finishRun(run, record.OutcomeAnswered)
		if err != nil {
			return
		}
	}
}
