package hostd

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/changes"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// peerLimits bound fetches of changes from other hosts. A host answers within milliseconds, or
// within holdTime if others are before the asker.
var peerLimits = transfer.Limits{Silence: 400 * time.Millisecond, GiveUp: 2 * time.Second, Running: 3}

const (
	// maxSentOn bounds how often a fetch is sent on to another host or asked to come again.
	maxSentOn = 40
	// maxPolledAsked is the number of hosts that are asked for a change that a poll has shown,
	// before the store is, and maxNoticedAsked that for a change of which there is notice.
	maxPolledAsked  = 2
	maxNoticedAsked = 4
)

// elsewhereError tells that another host is to be asked for changes.
type elsewhereError struct {
	// host is that one, or empty if the same one is to be asked again.
	host string
}

func (e *elsewhereError) Error() string {
	if e.host == "" {
		return "other hosts are before this one; ask again"
	}
	return fmt.Sprintf("host %s has the changes; ask it", e.host)
}

func readElsewhere(header []byte) error {
	var a lineAnswer
	if err := json.Unmarshal(header, &a); err != nil {
		return errors.Wrap(err, "read who has the changes")
	}
	return &elsewhereError{host: a.To}
}

// changesInLine fetches the changes of the operators' rows from a gate, in its turn.
func (c *gateClient) changesInLine(ctx context.Context, gate string, after uint64) (operatorChanges, error) {
	base := c.known()
	asker := changesAsker{Host: c.host}
	if base != nil {
		asker.Base = base.Digest
	}
	var out operatorChanges
	resp, body, err := c.get(ctx, gate, operatorChangesPath+strconv.FormatUint(after, 10), encodeHeader(asker))
	if err != nil {
		return out, err
	}
	if string(resp.Header.ContentType()) != changes.ContentType {
		return out, errors.Wrap(json.Unmarshal(body, &out), "decode") // a daemon of an earlier version
	}
	var line lineAnswer
	if raw := resp.Header.Peek(headerChanges); raw != nil {
		if err := json.Unmarshal(raw, &line); err != nil {
			return out, errors.Wrap(err, "read the header of changes")
		}
	}
	return readChanges(body, line, base, after)
}

// readChanges reads a response in the form of package changes. base is the value that was named
// in the request.
func readChanges(body []byte, line lineAnswer, base *changes.Value, after uint64) (operatorChanges, error) {
	in, err := changes.Decode(body, base)
	if err != nil {
		return operatorChanges{}, err
	}
	key := changesKey{path: operatorChangesPath, after: after}
	if base != nil {
		key.base = base.Digest
	}
	return operatorChanges{Full: in.Full, Version: in.Version, Rows: in.Rows,
		Received: &encodedResponse{key: key, version: in.Version, data: body, confirm: line.Confirm}}, nil
}

// fetched are changes and the host from which they were fetched. It is empty if they were read
// from the store and have been applied.
type fetched struct {
	operatorChanges
	from Target
}

// errArrived ends a fetch of changes that this host has got by other means.
var errArrived = errors.New("the changes have arrived by other means")

// fetchFrom fetches the changes of the operators' rows after a version from the first of
// several sources that completes. It returns false if none did.
func (c *Control) fetchFrom(ctx context.Context, after uint64, next func() (transfer.Source[fetched], bool)) bool {
	ctx, reception := c.begin(ctx, &c.configTries)
	sources := 0
	f, err := transfer.First(ctx, peerLimits, func() (transfer.Source[fetched], bool) {
		source, ok := next()
		if sources++; ok && sources > 1 {
			c.configTries.Add(1)
		}
		return source, ok
	})
	if errors.Is(err, errArrived) {
		return true
	}
	r := reception.end(err)
	if err != nil {
		c.metrics.Add("changes_not_fetched", 1)
		return false
	}
	if f.from.Host == "" {
		return true
	}
	// Other hosts can be given the changes before they have been decoded here.
	if f.Received != nil && len(f.Rows) > 0 {
		c.encoded.pass(f.Received)
		c.published.signal()
	}
	if f.Received != nil && f.Received.confirm {
		go c.peers.query(ctx, f.from.Control, datagram{Kind: queryHeld, Host: c.host, To: f.from.Host, ConfigVersion: f.Version}) //nolint:errcheck // the sender does not wait for long
	}
	c.submit(ctx, tableUpdate{table: karpithaz.OperatorTable, full: f.Full, version: f.Version, rows: f.Rows, from: f.from.Host, received: r})
	return true
}

// takeFrom returns a source that fetches the changes after a version from a host, or from those
// to which it sends this one on.
func (c *Control) takeFrom(from Target, after uint64) transfer.Source[fetched] {
	return transfer.Source[fetched]{Get: func(ctx context.Context) (fetched, error) {
		begun := time.Now()
		for range maxSentOn {
			rows, err := c.peers.operatorChanges(ctx, from.Gate, after)
			var elsewhere *elsewhereError
			switch {
			case err == nil:
				return fetched{rows, from}, nil
			case c.configAt.Load() > after && after > 0:
				return fetched{}, errArrived
			case !errors.As(err, &elsewhere):
				if ctx.Err() == nil || errors.Is(context.Cause(ctx), transfer.ErrSilent) {
					c.log.Decide("config-not-fetched", "from", from.Host, "received_bytes", transfer.MeterOf(ctx).Bytes(), "after_ms", time.Since(begun).Milliseconds(), "tries", c.configTries.Load(), "err", err)
				}
				return fetched{}, err
			}
			if t, ok := c.View().TargetOf(elsewhere.host); ok && t.Host != c.host {
				from = t
			}
		}
		return fetched{}, errors.Errorf("sent on %d times, last by host %s", maxSentOn, from.Host)
	}}
}

// fetchNoticed fetches the changes of which other hosts have given notice: from those, the
// ranked hosts of the data centre, and the store.
func (c *Control) fetchNoticed(ctx context.Context) {
	if !c.proven() {
		// The change may be the first configuration, of no use without a proof.
		c.pollPeer(ctx, &peerPoll{}, c.inbox.get().senders[0], false)
		return
	}
	select {
	case c.fetching <- struct{}{}:
		defer func() { <-c.fetching }()
	case <-ctx.Done():
		return
	}
	for c.inbox.get().version > c.configAt.Load() && ctx.Err() == nil {
		after := c.configAt.Load()
		// A later notice may bring further senders.
		hosts := func() []string { return append(slices.Clone(c.inbox.get().senders), c.View().ranked(c.dataCentre)...) }
		if !c.fetchFrom(ctx, after, c.sources(after, maxNoticedAsked, hosts)) || c.configAt.Load() <= after {
			return // a poll makes up for it
		}
	}
}

// fetchFromPeers fetches the changes that a poll has shown at a peer: from the peer, another
// ranked host, and the store. It returns false if nobody has given them. A fetch that is already
// in progress is left to itself.
func (c *Control) fetchFromPeers(ctx context.Context, peer Target, after uint64) bool {
	select {
	case c.fetching <- struct{}{}:
		defer func() { <-c.fetching }()
	default:
		return true
	}
	hosts := func() []string { return append([]string{peer.Host}, c.View().ranked(c.dataCentre)...) }
	return c.fetchFrom(ctx, after, c.sources(after, maxPolledAsked, hosts))
}

// sources returns the sources of a fetch: at most some of the hosts, each once and in their
// order, and then the store.
func (c *Control) sources(after uint64, most int, hosts func() []string) func() (transfer.Source[fetched], bool) {
	var asked []string
	storeAsked := false
	return func() (transfer.Source[fetched], bool) {
		for _, host := range hosts() {
			if t, ok := c.View().TargetOf(host); ok && host != c.host && len(asked) < most && !slices.Contains(asked, host) {
				asked = append(asked, host)
				return c.takeFrom(t, after), true
			}
		}
		if storeAsked {
			return transfer.Source[fetched]{}, false
		}
		storeAsked = true
		return transfer.Source[fetched]{Get: func(ctx context.Context) (fetched, error) { return fetched{}, c.readStore(ctx) }}, true
	}
}

// outOfTurn is the feed of a host that reads the operators' table from the store although it is
// no reader.
type outOfTurn struct {
	mu      sync.Mutex
	feed    *tableFeed
	running sync.WaitGroup
}

// readStore reads the operators' table from the store once.
func (c *Control) readStore(ctx context.Context) error {
	o := &c.outOfTurn
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.feed == nil {
		o.feed = &tableFeed{c: c, table: karpithaz.OperatorTable, version: &c.configAt}
	}
	o.feed.loaded = c.View().Config != nil
	err := o.feed.read(ctx, 0)
	if errors.Is(err, karpithaz.ErrHistoryExpired) {
		o.feed.loaded = false
		err = o.feed.read(ctx, 0)
	}
	return err
}

// readOutOfTurn begins to read the operators' table from the store, unless that is in progress:
// polls go on meanwhile.
func (c *Control) readOutOfTurn(ctx context.Context, rank int) {
	if !c.outOfTurn.mu.TryLock() {
		return
	}
	c.outOfTurn.mu.Unlock()
	c.outOfTurn.running.Go(func() {
		if err := c.readStore(ctx); err != nil && ctx.Err() == nil {
			c.metrics.Add("store_failures", 1)
			c.log.Decide("proof-missing", "rank", rank, "proof_age_ms", c.ProofAge().Milliseconds(), "err", err)
		}
	})
}

// fetchHosts fetches the changes of hosts from a reader, or another ranked host if that one is
// silent.
func (c *Control) fetchHosts(ctx context.Context, reader Target) {
	type fetchedHosts struct {
		hostChanges
		from string
	}
	ctx, reception := c.begin(ctx, &c.hostsTries)
	after := c.hostsAt.Load()
	hosts := append([]string{reader.Host}, slices.DeleteFunc(c.View().ranked(c.dataCentre), func(h string) bool { return h == reader.Host || h == c.host })...)
	hosts = hosts[:min(len(hosts), maxPolledAsked)]
	got, err := transfer.First(ctx, peerLimits, func() (transfer.Source[fetchedHosts], bool) {
		if len(hosts) == 0 {
			return transfer.Source[fetchedHosts]{}, false
		}
		from, ok := c.View().TargetOf(hosts[0])
		if !ok {
			from = reader
		}
		hosts = hosts[1:]
		return transfer.Source[fetchedHosts]{Get: func(ctx context.Context) (fetchedHosts, error) {
			changes, err := c.peers.hostChanges(ctx, from.Gate, after)
			return fetchedHosts{changes, from.Host}, err
		}}, true
	})
	r := reception.end(err)
	if err != nil {
		c.metrics.Add("changes_not_fetched", 1)
		c.log.Decide("hosts-not-fetched", "from", reader.Host, "received_bytes", r.bytes, "after_ms", r.took.Milliseconds(), "tries", r.tries, "err", err)
		return
	}
	n := tableUpdate{table: hostsTable, full: got.Full, version: got.Version, from: got.from}
	for _, h := range got.Hosts {
		row := karpithaz.Row{Table: hostsTable, Key: h.Host, Version: h.Version, Removed: h.Target == nil}
		if h.Target != nil {
			row.Value = []byte(encodeHeader(h.Target))
		}
		n.rows = append(n.rows, row)
	}
	c.submit(ctx, n)
}
