package configstore

import "encoding/json"

// Page is a part of a state that fits into one message between daemons.
type Page struct {
	// Revision is the revision of the state that the page was cut from.
	Revision uint64   `json:"revision"`
	Sections []Stored `json:"sections"`
	// Next is the argument for the following page; empty after the last.
	Next string `json:"next,omitempty"`
}

// Page returns the sections after the one named after, in order of name, whose
// JSON forms have at most maxBytes together, and at least one section if any is
// left.
func (s State) Page(after string, maxBytes int) Page {
	first := 0
	if after != "" {
		i, exists := s.find(after)
		first = i
		if exists {
			first++
		}
	}
	p := Page{Revision: s.Revision}
	left := maxBytes
	for i := first; i < len(s.Sections); i++ {
		left -= jsonSize(s.Sections[i])
		if left < 0 && i > first {
			p.Next = s.Sections[i-1].Section.Name
			break
		}
		p.Sections = append(p.Sections, s.Sections[i])
	}
	return p
}

func jsonSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types stored all have a JSON form
	}
	return len(data)
}

// Assembly puts a state together from the pages of a peer, whose state may move
// on meanwhile. The zero value is empty.
type Assembly struct {
	state State
	// latest is the highest revision of a page.
	latest  uint64
	started bool
}

// Add takes the next page. Ask for pages until one has no Next.
func (a *Assembly) Add(p Page) {
	if !a.started {
		a.started = true
		a.state.Revision = p.Revision
	}
	a.state.Revision = min(a.state.Revision, p.Revision)
	a.latest = max(a.latest, p.Revision)
	for _, s := range p.Sections {
		a.state.put(s)
	}
}

// Missing tells which deltas Finish needs: those after revision from, up to
// revision to. None are needed when both are equal.
func (a *Assembly) Missing() (from, to uint64) { return a.state.Revision, a.latest }

// Finish returns the state, advanced by the deltas that Missing asked for. It
// fails with a GapError when they do not suffice; the parts are then of several
// revisions and must not be used.
func (a *Assembly) Finish(deltas []Delta) (State, error) {
	st, err := a.state.Advance(deltas)
	if err != nil {
		return State{}, err
	}
	if st.Revision < a.latest {
		return State{}, &GapError{Have: st.Revision, Next: a.latest}
	}
	return st, nil
}
