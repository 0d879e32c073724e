package configstore

import "github.com/gooseberryshed/gooseberryshed/config"

// View is a state together with its snapshot, both at one revision. It is what a
// daemon keeps. Like State it is a value whose methods return new views, and
// revisions only rise.
type View struct {
	State    State
	Snapshot *config.Snapshot
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
	snap := v.Snapshot
	for i := range deltas {
		if deltas[i].Revision > snap.Revision() {
			snap = snap.Advance(deltas[i].Revision, deltas[i].Patches)
		}
	}
	return View{State: st, Snapshot: snap}, nil
}

// Replace takes a whole state, such as one loaded after a gap. An older state
// than the view's changes nothing.
func (v View) Replace(st State) View {
	if v.Snapshot != nil && st.Revision <= v.State.Revision {
		return v
	}
	return NewView(st)
}
