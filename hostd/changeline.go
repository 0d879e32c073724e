package hostd

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/changes"
	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/spread"
)

// A change that is large goes to a few hosts at a time. The others wait in the line of the host
// that they asked, or are sent on to one that has the change already (package spread).

// headerChanges is set in a request for changes of the operators' rows in the form of package
// changes, and holds a changesAsker. A response has it with a lineAnswer.
const headerChanges = "Gooseberryshed-Changes"

// changesAsker is the host that asks for changes.
type changesAsker struct {
	Host string `json:"h"`
	// Base is the digest of the document that it has, or empty.
	Base string `json:"b,omitempty"`
}

// lineAnswer is what an asker is told about the line.
type lineAnswer struct {
	// Confirm asks it to tell when it has the changes (queryHeld).
	Confirm bool `json:"c,omitempty"`
	// To is a host that has the changes, in a refusal. If it is empty, the asker is to ask
	// again.
	To string `json:"t,omitempty"`
}

// queryHeld tells a host that the sender has the changes that it was given in its turn.
const queryHeld = "held"

const (
	// holdTime bounds how long a request is held, for its turn or for changes that this host
	// is fetching itself. It is below the silence after which an asker begins another fetch.
	holdTime = 250 * time.Millisecond
	// smallChanges is the size of a response up to which it is not worth a line: a hundred of
	// them take 0.16 s on a link of 10 Mbit/s.
	smallChanges = 2 << 10
	// minConfirm and confirmRate bound how long a host that was served may take to confirm,
	// before another one is served in its place. The rate is half of a link of 10 Mbit/s.
	minConfirm  = 300 * time.Millisecond
	confirmRate = 625_000 // bytes a second
)

// changeLine is a line and the requests that wait in it.
type changeLine struct {
	mu      sync.Mutex
	line    spread.Line
	version uint64
	waiting map[spread.Ticket]chan spread.Release
}

// enter waits for the turn of a host that asks for a version. It returns false if the request
// is not to be served; to is then another host that has the changes, or empty.
func (l *changeLine) enter(ctx context.Context, host string, version uint64) (t spread.Ticket, to string, served bool) {
	l.mu.Lock()
	if version > l.version {
		l.version = version
		l.line.Renew()
	}
	t, served = l.line.Ask(host)
	if served {
		l.mu.Unlock()
		return t, "", true
	}
	turn := make(chan spread.Release, 1)
	if l.waiting == nil {
		l.waiting = map[spread.Ticket]chan spread.Release{}
	}
	l.waiting[t] = turn
	l.mu.Unlock()
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case r := <-turn:
		return t, r.To, r.To == ""
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.line.Leave(t) {
		delete(l.waiting, t)
		to, _ = l.line.Holder()
		if to == host {
			to = ""
		}
		return t, to, false
	}
	r := <-turn // released meanwhile
	return t, r.To, r.To == ""
}

// done ends the serving of a request. has is set if its host has the changes now.
func (l *changeLine) done(t spread.Ticket, has bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(l.line.Done(t, has))
}

// confirm records that a host which was served has the changes now.
func (l *changeLine) confirm(host string) datagram {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(l.line.DoneBy(host))
	return datagram{Result: true}
}

func (l *changeLine) release(list []spread.Release) {
	for _, r := range list {
		if turn, ok := l.waiting[r.Ticket]; ok {
			delete(l.waiting, r.Ticket)
			turn <- r
		}
	}
}

// changesResponse is the response to a request for changes in the form of package changes.
type changesResponse struct {
	// data is nil if the request is refused, and line then names the host to ask.
	data []byte
	line *lineAnswer
	// ended must be called when the response has been sent, or cannot be.
	ended func(sent bool)
}

// answerInLine answers a request for changes of the operators' rows when its turn has come.
func (c *Control) answerInLine(ctx context.Context, asker changesAsker, after uint64) (changesResponse, error) {
	refused := func(to string) changesResponse {
		c.metrics.Add("changes_sent_on", 1)
		return changesResponse{line: &lineAnswer{To: to}, ended: func(bool) {}}
	}
	data, version, err := c.changesFor(ctx, changesKey{path: operatorChangesPath, after: after, base: asker.Base})
	if err != nil {
		return changesResponse{}, err
	}
	if data == nil {
		return refused(""), nil // still being fetched
	}
	r := changesResponse{data: data}
	if len(data) <= smallChanges {
		r.ended = c.sending.begin(len(data))
		return r, nil
	}
	ticket, to, served := c.line.enter(ctx, asker.Host, version)
	if !served {
		return refused(to), nil
	}
	ended := c.sending.begin(len(data))
	r.line = &lineAnswer{Confirm: true}
	r.ended = func(sent bool) {
		ended(sent)
		if !sent {
			c.line.done(ticket, false)
			return
		}
		patience := minConfirm + time.Duration(float64(len(data))/confirmRate*float64(time.Second))
		time.AfterFunc(patience, func() { c.line.done(ticket, false) })
	}
	return r, nil
}

// serveInLine handles a request for changes of the operators' rows in the form of package
// changes. It returns false for other requests.
func (c *Control) serveInLine(ctx context.Context, x *h1.Exchange) bool {
	raw := x.Request.Header.Peek(headerChanges)
	key, ok, err := parseChangesKey(string(x.Request.Header.RequestURI()))
	if raw == nil || !ok || key.path != operatorChangesPath {
		return false
	}
	var asker changesAsker
	if err != nil || json.Unmarshal(raw, &asker) != nil {
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return true
	}
	r, err := c.answerInLine(ctx, asker, key.after)
	if err != nil {
		c.log.Logger().Error("changes cannot be encoded", "path", key.path, "after", key.after, "err", err)
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	x.OnEnd(r.ended)
	if r.line != nil {
		x.Response.Header.Set(headerChanges, encodeHeader(r.line))
	}
	if r.data == nil {
		x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	}
	c.metrics.Add("changes_served", 1)
	c.metrics.Add("changes_served_bytes", int64(len(r.data)))
	x.Response.Header.SetContentType(changes.ContentType)
	x.Response.SetBodyRaw(r.data)
	return true
}

// changesFor returns the response to a request and the version of the changes in it. It waits
// for changes that this host is fetching itself, and returns nil if they do not come for a while.
func (c *Control) changesFor(ctx context.Context, key changesKey) (data []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	for {
		published := c.published.next()
		view := c.View()
		if data, version, ok := c.encoded.passOn(key, view.operatorVersion); ok {
			return data, version, nil
		}
		if view.operatorVersion > key.after || c.inbox.get().version <= key.after {
			data, err := c.encoded.get(view, key, func() ([]byte, error) { return c.encodeChanges(view, key) })
			return data, view.operatorVersion, err
		}
		select {
		case <-published:
		case <-ctx.Done():
			return nil, 0, nil
		}
	}
}

// encodeChanges returns the response to a request for changes in the form of package changes.
func (c *Control) encodeChanges(view *View, key changesKey) ([]byte, error) {
	rows := c.operatorChangesAfter(key.after)
	return changes.Encode(changes.Changes{Full: rows.Full, Version: rows.Version, Rows: rows.Rows}, karpithaz.ConfigKey, view.configHistory.Find(key.base))
}

// knownConfig returns the value of the configuration's row that this host has, or nil.
func (c *Control) knownConfig() *changes.Value { return c.View().configHistory.Newest() }

// broadcast tells any number of goroutines that something has happened.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed at the next signal.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
