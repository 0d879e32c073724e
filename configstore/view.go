package configstore

import (
	"slices"

	"github.com/gooseberryshed/gooseberryshed/config"
)

// Limits of the deltas that a view keeps for peers.
const (
	maxTailDeltas = 1000
	// maxTailBytes limits their total size as JSON.
	maxTailBytes = 1 << 20
)

// View is the configuration held by a daemon: a state, its snapshot, and the
// latest deltas for peers at an older revision. Like State it is an immutable
// value whose methods return new views. Its revision never decreases.
type View struct {
	State    State
	Snapshot *config.Snapshot

	// tail holds the most recent deltas up to State, oldest first.
	tail []tailDelta
	// tailSize is the total size of tail in bytes.
	tailSize int
}

type tailDelta struct {
	delta *Delta
	size  int
}

// NewView builds a view with a snapshot of the whole state.
func NewView(st State) View {
	return View{State: st, Snapshot: config.BuildUnvalidated(st.Revision, st.Document())}
}

// Advance applies deltas like State.Advance and updates the snapshot incrementally
// instead of rebuilding it.
func (v View) Advance(deltas []Delta) (View, error) {
	st, err := v.State.Advance(deltas)
	if err != nil || st.Revision == v.State.Revision {
		return v, err
	}
	next := View{State: st, Snapshot: v.Snapshot, tail: slices.Clone(v.tail), tailSize: v.tailSize}
	for i := range deltas {
		d := &deltas[i]
		if d.Revision > next.Snapshot.Revision() {
			next.Snapshot = next.Snapshot.Advance(d.Revision, d.Patches)
			next.appendTail(d)
		}
	}
	return next, nil
}

// appendTail appends d to the tail and removes the oldest deltas beyond the
// limits. The tail must not be shared with another view.
func (v *View) appendTail(d *Delta) {
	size := jsonSize(d)
	v.tail = append(v.tail, tailDelta{delta: d, size: size})
	v.tailSize += size
	for len(v.tail) > maxTailDeltas || v.tailSize > maxTailBytes {
		v.tailSize -= v.tail[0].size
		v.tail = v.tail[1:]
	}
}

// Replace returns a view of a whole state, such as one loaded after a gap in the
// log. If the state is not newer than the view, it returns the view unchanged.
func (v View) Replace(st State) View {
	if v.Snapshot != nil && st.Revision <= v.State.Revision {
		return v
	}
	return NewView(st)
}

// Since returns the deltas after revision rev, oldest first, up to a total of
// maxBytes as JSON; the peer requests the rest in another call. ok is false if
// the view no longer holds them or if the first one exceeds maxBytes; the peer
// then requests pages of the whole state.
func (v View) Since(rev uint64, maxBytes int) (deltas []Delta, ok bool) {
	if rev >= v.State.Revision {
		return nil, true
	}
	missing := v.State.Revision - rev
	if missing > uint64(len(v.tail)) {
		return nil, false
	}
	for _, t := range v.tail[uint64(len(v.tail))-missing:] {
		maxBytes -= t.size
		if maxBytes < 0 {
			break
		}
		deltas = append(deltas, *t.delta)
	}
	return deltas, len(deltas) > 0
}
