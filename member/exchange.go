package member

import (
	"cmp"
	"slices"
	"time"
)

// Begin opens an exchange with a peer. host is empty when only the peer's
// address is known. The sender adds its Touch.
func (g *Gossip) Begin(host string) Begin {
	g.stats.Exchanges++
	m := g.watermarksOf(host)
	news, seq := g.digestSince(host, m.acked, nil)
	return g.message(host, m, news, seq)
}

// Answer replies to a Begin.
func (g *Gossip) Answer(now time.Time, b Begin) Answer {
	m := g.observePeer(now, b)
	g.mergeSuspicions(now, b.Suspicions)
	wants, known := g.missingRecords(b.News)
	if len(wants) == 0 {
		m.seen = max(m.seen, b.Seq)
	}
	news, seq := g.digestSince(b.Host, m.acked, known)
	a := Answer{Begin: g.message(b.Host, m, news, seq), Wants: wants}
	if e, ok := g.entries[b.Host]; ok && b.Peer == 0 && e.record.Incarnation < b.Incarnation {
		predecessor := e.record
		a.Predecessor = &predecessor
	}
	return a
}

// Finish replies to an Answer. It reports false when there is nothing to send
// or to ask for; the exchange is then over.
func (g *Gossip) Finish(now time.Time, begun Begin, a Answer) (Finish, bool) {
	m := g.observePeer(now, a.Begin)
	if a.Predecessor != nil {
		g.mergeSelf(*a.Predecessor)
	}
	g.mergeSuspicions(now, a.Suspicions)
	wants, _ := g.missingRecords(a.News)
	if len(wants) == 0 {
		m.seen = max(m.seen, a.Seq)
	}
	if len(a.Wants) == 0 {
		m.acked = max(m.acked, begun.Seq)
	}
	f := Finish{Host: g.self, Incarnation: g.incarnation(), Seq: begun.Seq, Wants: wants}
	f.Changes, f.Complete = g.collectChanges(now, a.Wants)
	return f, len(a.Wants) > 0 || len(wants) > 0
}

// Final takes the records of a Finish and replies with those it asked for.
func (g *Gossip) Final(now time.Time, f Finish) Final {
	m := g.watermarksOf(f.Host)
	g.mergeChanges(now, m, f.Host, f.Incarnation, f.Seq, f.Complete, f.Changes)
	out := Final{Host: g.self, Incarnation: g.incarnation()}
	out.Changes, out.Complete = g.collectChanges(now, f.Wants)
	return out
}

// Merge takes the records of a Final; answered is the Answer that it follows.
// It reports whether the peer has more, so that another exchange at once is
// worthwhile.
func (g *Gossip) Merge(now time.Time, answered Answer, f Final) bool {
	m := g.watermarksOf(f.Host)
	g.mergeChanges(now, m, f.Host, f.Incarnation, answered.Seq, f.Complete, f.Changes)
	return !f.Complete
}

func (g *Gossip) incarnation() uint64 { return g.entries[g.self].record.Incarnation }

func (g *Gossip) message(host string, m *watermarks, news Digest, seq uint64) Begin {
	return Begin{
		Host:        g.self,
		Incarnation: g.incarnation(),
		Peer:        m.incarnation,
		Ack:         m.seen,
		News:        news,
		Seq:         seq,
		Suspicions:  g.suspicions(host, m.acked),
	}
}

// watermarksOf returns the mark of a peer; that of an unknown one is not kept.
func (g *Gossip) watermarksOf(host string) *watermarks {
	if m, ok := g.peerMarks[host]; ok {
		return m
	}
	m := &watermarks{}
	if host != "" {
		g.peerMarks[host] = m
	}
	return m
}

// observePeer brings the mark of a peer up to date and takes its message as evidence
// that it is alive.
func (g *Gossip) observePeer(now time.Time, b Begin) *watermarks {
	m := g.watermarksOf(b.Host)
	if m.incarnation != b.Incarnation {
		*m = watermarks{incarnation: b.Incarnation}
		g.clearSource(b.Host)
	}
	if b.Peer == g.incarnation() {
		m.acked = min(b.Ack, g.seq)
	} else {
		m.acked = 0
	}
	g.markReachable(now, b.Host)
	return m
}

// clearSource forgets which copies came from a peer that has started anew and so no
// longer has them.
func (g *Gossip) clearSource(peer string) {
	for _, e := range g.entries {
		if e.source == peer {
			e.source = ""
		}
	}
}

// digestSince lists the changes after number since that did not come from the peer,
// in order, and the number up to which the list is complete. known holds what
// the peer has just listed itself.
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
	if len(list) > g.opt.MaxNews {
		list = list[:g.opt.MaxNews]
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

// missingRecords compares a peer's list with the own copies.
func (g *Gossip) missingRecords(news Digest) ([]Want, map[Key]digestEntry) {
	entries := news.decode()
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

// collectChanges collects the wanted records up to the message bound and reports
// whether all are there.
func (g *Gossip) collectChanges(now time.Time, wants []Want) ([]Change, bool) {
	var out []Change
	size := 0
	for _, w := range wants {
		e, ok := g.entries[g.byKey[w.Key]]
		if !ok || !Newer(e.record, Daemon{Incarnation: w.Incarnation, Version: w.Version}) {
			continue
		}
		c := changeSince(e.record, w.Incarnation, w.Version)
		c.Suspected = e.suspicionAge(now)
		size += approxBytes(c)
		if size > g.opt.MaxChangeBytes && len(out) > 0 {
			return out, false
		}
		out = append(out, c)
	}
	return out, true
}

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
