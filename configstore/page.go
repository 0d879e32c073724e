package configstore

import "encoding/json"

// Page is a part of a state that fits into one message between daemons.
type Page struct {
	// Revision is the revision of the state that the page was taken from.
	Revision uint64          `json:"revision"`
	Sections []StoredSection `json:"sections"`
	// Next is the argument for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// Page returns the sections that follow the one named after, sorted by name, up
// to a total of maxBytes as JSON. It returns at least one section if any are
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
		panic(err) // all stored types can be encoded as JSON
	}
	return len(data)
}

// StateAssembler builds a state from the pages of a peer whose state may change
// between pages. The zero value is ready for use.
type StateAssembler struct {
	state State
	// latest is the highest revision of all pages.
	latest  uint64
	started bool
}

// AddPage adds the next page. Pages are requested until one has no Next.
func (a *StateAssembler) AddPage(p Page) {
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

// MissingRange returns the range of deltas that Finish needs: those after
// revision from, up to revision to. None are needed if both are equal.
func (a *StateAssembler) MissingRange() (from, to uint64) { return a.state.Revision, a.latest }

// Finish applies the deltas of the range that MissingRange returned and returns
// the state. It fails with a GapError if deltas are missing; the sections are
// then of different revisions and must not be used.
func (a *StateAssembler) Finish(deltas []Delta) (State, error) {
	st, err := a.state.Advance(deltas)
	if err != nil {
		return State{}, err
	}
	if st.Revision < a.latest {
		return State{}, &GapError{Have: st.Revision, Next: a.latest}
	}
	return st, nil
}
