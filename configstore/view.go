package configstore

import (
	"slices"

	"github.com/gooseberryshed/gooseberryshed/config"
)

// Bounds of the deltas that a view keeps for peers.
const (
	tailDeltas = 1000
	// tailBytes bounds their JSON forms.
	tailBytes = 1 << 20
)

// View is what a daemon keeps: a state, its snapshot, and the latest deltas for
// peers that are behind. Like State it is a value whose methods return new views,
// and its revision only rises.
type View struct {
	State    State
	Snapshot *config.Snapshot

	// tail holds the deltas that led to State, oldest first.
	tail []tailDelta
	// tailSize is the sum of their sizes in bytes.
	tailSize int
}

type tailDelta struct {
	delta *Delta
	size  int
}

// NewView indexes a whole state.
func NewView(st State) View {
	return View{State: st, Snapshot: config.Index(st.Revision, st.Document())}
}

// Advance applies deltas as State.Advance does and updates the snapshot by them,
// without building it anew.
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
			next.remember(d)
		}
	}
	return next, nil
}

// remember adds d to the tail and lets go of the oldest beyond the bounds. The
// receiver must own its tail.
func (v *View) remember(d *Delta) {
	size := jsonSize(d)
	v.tail = append(v.tail, tailDelta{delta: d, size: size})
	v.tailSize += size
	for len(v.tail) > tailDeltas || v.tailSize > tailBytes {
		v.tailSize -= v.tail[0].size
		v.tail = v.tail[1:]
	}
}

// Replace takes a whole state, such as one loaded after a gap. An older state
// than the view's changes nothing.
func (v View) Replace(st State) View {
	if v.Snapshot != nil && st.Revision <= v.State.Revision {
		return v
	}
	return NewView(st)
}

// Since returns the deltas after revision rev, oldest first, whose JSON forms
// have at most maxBytes together; the peer asks again for the rest. ok is false
// when the view does not hold them, or the first is larger; the peer then asks
// for pages of the whole state.
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
