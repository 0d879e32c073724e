package configstore

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/config"
)

// State is the whole document at one revision. It is an immutable value: exported
// methods return new states and never modify the receiver. Daemons exchange it as
// JSON.
type State struct {
	Revision uint64 `json:"revision"`
	// Sections are sorted by name and include tombstones.
	Sections []StoredSection `json:"sections"`
}

// find returns the index of a section and whether it exists; if not, the index is
// where to insert it.
func (s State) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Sections, name, func(st StoredSection, n string) int {
		return strings.Compare(st.Section.Name, n)
	})
}

// put adds or replaces a section. The slice must not be shared with another
// state.
func (s *State) put(stored StoredSection) {
	i, exists := s.find(stored.Section.Name)
	if exists {
		s.Sections[i] = stored
		return
	}
	s.Sections = slices.Insert(s.Sections, i, stored)
}

// Section returns a section or a tombstone by name.
func (s State) Section(name string) (StoredSection, bool) {
	i, ok := s.find(name)
	if !ok {
		return StoredSection{}, false
	}
	return s.Sections[i], true
}

// Document returns the sections sorted by name, without tombstones.
func (s State) Document() []config.Section {
	out := make([]config.Section, 0, len(s.Sections))
	for i := range s.Sections {
		if !s.Sections[i].Removed {
			out = append(out, s.Sections[i].Section)
		}
	}
	return out
}

// Snapshot validates the state as a whole and builds its snapshot. Daemons use the
// cheaper View, as they must not reject an accepted document.
func (s State) Snapshot() (*config.Snapshot, error) {
	return config.Build(s.Revision, s.Document())
}

// Advance applies deltas in order. It skips those that the state already includes.
// It fails with a GapError if one is missing, and returns s on any error.
func (s State) Advance(deltas []Delta) (State, error) {
	next := State{Revision: s.Revision, Sections: slices.Clone(s.Sections)}
	for i := range deltas {
		d := &deltas[i]
		if d.Revision <= next.Revision {
			continue
		}
		if d.Revision != next.Revision+1 {
			return s, &GapError{Have: next.Revision, Next: d.Revision}
		}
		if err := next.apply(d); err != nil {
			return s, err
		}
	}
	return next, nil
}

func (s *State) apply(d *Delta) error {
	for i := range d.Patches {
		if err := s.patch(d, &d.Patches[i]); err != nil {
			return errors.Wrapf(err, "revision %d", d.Revision)
		}
	}
	s.Revision = d.Revision
	return nil
}

func (s *State) patch(d *Delta, p *config.Patch) error {
	i, exists := s.find(p.Section)
	if exists && s.Sections[i].Revision >= d.Revision {
		return nil // a StateAssembler may hold sections newer than its revision
	}
	var old *config.Section
	if exists && !s.Sections[i].Removed {
		old = &s.Sections[i].Section
	}
	changed, err := p.Apply(old)
	if err != nil {
		return err
	}
	stored := tombstone(p.Section, d.Author, d.Revision)
	if changed != nil {
		stored = StoredSection{Revision: d.Revision, Author: d.Author, Section: *changed}
	}
	s.put(stored)
	return nil
}
