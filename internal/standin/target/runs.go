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

// begin records the start of a run.
func (t *Target) begin(r *http.Request, body []byte, f Faults) record.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	run := record.Run{
		Target:      t.opts.Name,
		Incarnation: t.incarnation,
		Seq:         t.seq,
		RequestID:   r.Header.Get("X-Request-Id"),
		Attempt:     r.Header.Get(attemptHeader),
		Workspace:   r.Header.Get(workspaceHeader),
		Method:      r.Method,
		Path:        r.URL.Path,
		Headers:     headerNames(r.Header),
		KeySeen:     holdsSecret(r, body, t.secrets),
		Start:       time.Now(),
		Concurrent:  t.inFlight,
		Bears:       f.Bears,
	}
	t.seq++
	t.runs = append(t.runs, run)
	t.write(run)
	return run
}

// end records how a run ended.
func (t *Target) end(run record.Run, outcome record.Outcome) {
	run.End = time.Now()
	run.Outcome = outcome
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.runs[run.Seq] = run
	t.write(run)
}

func (t *Target) write(run record.Run) {
	if t.opts.Log == nil {
		return
	}
	if err := t.opts.Log.Write(run); err != nil {
		panic(err) // a test without its record proves nothing
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

// holdsSecret searches URL, header fields (cookies included) and body.
func holdsSecret(r *http.Request, body []byte, secrets []string) bool {
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

// sendTruncated writes half of the body and ends the connection.
func sendTruncated(w http.ResponseWriter, how Truncation, own reply) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	half := own.body[:len(own.body)/2]
	if how == TruncateChunked {
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			attemptHeader, own.attempt, len(half), half)
	} else {
		writeHead(buf, own)
		_, _ = buf.Write(half) // flush reports the error
	}
	_ = buf.Flush() // the connection is closed next either way
}

func writeHead(w io.Writer, p reply) {
	fmt.Fprintf(w, "HTTP/1.1 %d OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", p.status, attemptHeader, p.attempt, len(p.body))
}

// sendStray writes the answer with an older one behind it. Then it serves the
// connection on, so that each later request on it finds a wrong answer first.
func (t *Target) sendStray(w http.ResponseWriter, own reply) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	stray := reply{http.StatusOK, "stray", answer.Body("stray", 0)}
	for _, p := range []reply{own, stray} {
		writeHead(buf, p)
		_, _ = buf.Write(p.body) // flush reports the error
	}
	if buf.Flush() != nil {
		conn.Close()
		return
	}
	go t.serveCrossed(conn, buf)
}

// serveCrossed records and answers the requests that still come on a
// connection with a stray answer on it, until the other side closes it.
func (t *Target) serveCrossed(conn net.Conn, buf *bufio.ReadWriter) {
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
		run := t.begin(req, body, Faults{})
		own := reply{http.StatusOK, run.Attempt, answer.Body(run.RequestID, 0)}
		writeHead(buf, own)
		_, _ = buf.Write(own.body) // flush reports the error
		err = buf.Flush()
		t.end(run, record.OutcomeAnswered)
		if err != nil {
			return
		}
	}
}
