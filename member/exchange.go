package member

import (
	"cmp"
	"slices"
	"time"
)

// BeginExchange returns the message that opens an exchange with a peer. host is
// empty if only the peer's address is known. The caller sets Status.
func (g *Gossip) BeginExchange(host string) ExchangeMessage {
	g.stats.Exchanges++
	m := g.watermarksOf(host)
	digest, seq := g.digestSince(host, m.acked, nil)
	return g.message(host, m, digest, seq)
}

// HandleExchange processes the message that opens an exchange and returns the
// response.
func (g *Gossip) HandleExchange(now time.Time, message ExchangeMessage) ExchangeResponse {
	m := g.observePeer(now, message)
	g.mergeSuspicions(now, message.Suspicions)
	wants, known := g.missingRecords(message.Digest)
	if len(wants) == 0 {
		m.seen = max(m.seen, message.Seq)
	}
	digest, seq := g.digestSince(message.Host, m.acked, known)
	response := ExchangeResponse{ExchangeMessage: g.message(message.Host, m, digest, seq), Wants: wants}
	if e, ok := g.entries[message.Host]; ok && message.Peer == 0 && e.record.Incarnation < message.Incarnation {
		predecessor := e.record
		response.Predecessor = &predecessor
	}
	return response
}

// FinishExchange processes the response to the message sent and returns the second
// request, which sends and requests records. It returns false if there are no
// records to send or request, which ends the exchange.
func (g *Gossip) FinishExchange(now time.Time, sent ExchangeMessage, response ExchangeResponse) (FinishRequest, bool) {
	m := g.observePeer(now, response.ExchangeMessage)
	if response.Predecessor != nil {
		g.mergeSelf(*response.Predecessor)
	}
	g.mergeSuspicions(now, response.Suspicions)
	wants, _ := g.missingRecords(response.Digest)
	if len(wants) == 0 {
		m.seen = max(m.seen, response.Seq)
	}
	if len(response.Wants) == 0 {
		m.acked = max(m.acked, sent.Seq)
	}
	f := FinishRequest{Host: g.self, Incarnation: g.incarnation(), Seq: sent.Seq, Wants: wants}
	f.Changes, f.Complete = g.collectChanges(now, response.Wants)
	return f, len(response.Wants) > 0 || len(wants) > 0
}

// HandleFinish merges the records of a FinishRequest and returns those that it
// requests.
func (g *Gossip) HandleFinish(now time.Time, f FinishRequest) FinishResponse {
	m := g.watermarksOf(f.Host)
	g.mergeChanges(now, m, f.Host, f.Incarnation, f.Seq, f.Complete, f.Changes)
	out := FinishResponse{Host: g.self, Incarnation: g.incarnation()}
	out.Changes, out.Complete = g.collectChanges(now, f.Wants)
	return out
}

// CompleteExchange merges the records of a FinishResponse; response is the
// ExchangeResponse of the same exchange. It reports whether the peer has further
// records, in which case the caller should start another exchange immediately.
func (g *Gossip) CompleteExchange(now time.Time, response ExchangeResponse, f FinishResponse) bool {
	m := g.watermarksOf(f.Host)
	g.mergeChanges(now, m, f.Host, f.Incarnation, response.Seq, f.Complete, f.Changes)
	return !f.Complete
}

func (g *Gossip) incarnation() uint64 { return g.entries[g.self].record.Incarnation }

func (g *Gossip) message(host string, m *watermarks, digest Digest, seq uint64) ExchangeMessage {
	return ExchangeMessage{
		Host:        g.self,
		Incarnation: g.incarnation(),
		Peer:        m.incarnation,
		Ack:         m.seen,
		Digest:      digest,
		Seq:         seq,
		Suspicions:  g.suspicions(host, m.acked),
	}
}

// watermarksOf returns the watermarks of a peer, creating them if needed. Those
// of a peer whose host is not known are not stored.
func (g *Gossip) watermarksOf(host string) *watermarks {
	if m, ok := g.peerWatermarks[host]; ok {
		return m
	}
	m := &watermarks{}
	if host != "" {
		g.peerWatermarks[host] = m
	}
	return m
}

// observePeer updates the watermarks of the sender of b and marks it reachable.
func (g *Gossip) observePeer(now time.Time, message ExchangeMessage) *watermarks {
	m := g.watermarksOf(message.Host)
	if m.incarnation != message.Incarnation {
		*m = watermarks{incarnation: message.Incarnation}
		g.clearSource(message.Host)
	}
	if message.Peer == g.incarnation() {
		m.acked = min(message.Ack, g.seq)
	} else {
		m.acked = 0
	}
	g.markReachable(now, message.Host)
	return m
}

// clearSource forgets which records were received from a peer that has
// restarted: it no longer has them and must be sent them again.
func (g *Gossip) clearSource(peer string) {
	for _, e := range g.entries {
		if e.source == peer {
			e.source = ""
		}
	}
}

// digestSince lists the records changed after sequence number since, in order,
// without those received from the peer and those equal to known, the peer's own
// digest. It also returns the sequence number up to which the list is complete.
func (g *Gossip) digestSince(peer string, since uint64, known map[Key]digestEntry) (Digest, uint64) {
	var list []*entry
	for _, e := range g.entries {
		if e.seq <= since || e.source == peer && peer != "" || e.record.Host == peer {
			continue
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	seq := g.seq
	if len(list) > g.opt.MaxDigestEntries {
		list = list[:g.opt.MaxDigestEntries]
		seq = list[len(list)-1].seq
	}
	var out Digest
	for _, e := range list {
		de := digestEntry{e.key, incarnationTag(e.record.Incarnation), e.record.Version}
		if known[e.key] != de {
			out = out.appendEntry(de)
		}
	}
	return out, seq
}

// missingRecords returns the records of a peer's digest that are newer than the
// local copies, and the decoded digest by key.
func (g *Gossip) missingRecords(digest Digest) ([]Want, map[Key]digestEntry) {
	entries := digest.decode()
	known := make(map[Key]digestEntry, len(entries))
	var wants []Want
	for _, de := range entries {
		known[de.key] = de
		e, ok := g.entries[g.byKey[de.key]]
		if !ok {
			wants = append(wants, Want{Key: de.key})
			continue
		}
		same := incarnationTag(e.record.Incarnation) == de.tag
		if e.record.Host == g.self || same && e.record.Version >= de.version {
			continue
		}
		wants = append(wants, Want{Key: de.key, Incarnation: e.record.Incarnation, Version: e.record.Version})
	}
	return wants, known
}

// collectChanges returns the requested records up to MaxChangeBytes and reports
// whether the list is complete.
func (g *Gossip) collectChanges(now time.Time, wants []Want) ([]Change, bool) {
	var out []Change
	size := 0
	for _, w := range wants {
		e, ok := g.entries[g.byKey[w.Key]]
		if !ok || !Newer(e.record, Daemon{Incarnation: w.Incarnation, Version: w.Version}) {
			continue
		}
		c := changeSince(e.record, w.Incarnation, w.Version)
		c.SuspicionAge = e.suspicionAge(now)
		size += approxBytes(c)
		if size > g.opt.MaxChangeBytes && len(out) > 0 {
			return out, false
		}
		out = append(out, c)
	}
	return out, true
}

// Estimated JSON sizes, used to keep messages within MaxChangeBytes.
const (
	approxHeadBytes   = 250
	approxTargetBytes = 200
)

func approxBytes(c Change) int {
	return approxHeadBytes + len(c.Targets)*approxTargetBytes
}

func (g *Gossip) mergeChanges(now time.Time, m *watermarks, from string, inc, seq uint64, complete bool, list []Change) {
	for _, c := range list {
		if !g.merge(now, c, from) {
			complete = false
		}
	}
	if complete && m.incarnation == inc {
		m.seen = max(m.seen, seq)
	}
}
