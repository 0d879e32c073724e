package configstore

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Edit is a change of one section.
type Edit struct {
	// Name is the name of the section.
	Name string
	// Base is the document revision that the edit is based on. The edit
	// conflicts if the section has changed since then. 0 means that the section
	// did not exist.
	Base uint64
	// Section is the new section; nil removes the section.
	Section *config.Section
}

// Change is a set of edits that is accepted or rejected atomically.
type Change struct {
	// ID identifies the change across retries; see NewChangeID.
	ID      string
	Author  string
	Message string
	Edits   []Edit
}

// Result is the outcome of an accepted change.
type Result struct {
	// Revision is a document revision that includes the change.
	Revision uint64
	// Repeated is set if an earlier call had already applied the change.
	Repeated bool
	// Unchanged is set if the document already had the requested content.
	Unchanged bool
}

const changeIDBytes = 12

// NewChangeID returns a random change ID.
func NewChangeID() string {
	var b [changeIDBytes]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}

// digest identifies the edits of the change regardless of their base revisions.
func (c Change) digest() string {
	edits := slices.Clone(c.Edits)
	for i := range edits {
		edits[i].Base = 0
	}
	data, err := json.Marshal(edits)
	if err != nil {
		panic(errors.Wrap(err, "encode a change as JSON"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// normalize validates the fields of the change and normalizes its sections.
func (c Change) normalize() (Change, error) {
	if c.ID == "" || len(c.ID) > config.MaxNameLen || c.Author == "" || len(c.Edits) == 0 {
		return c, errors.Errorf("a change needs an ID of 1 to %d bytes, an author and at least one edit", config.MaxNameLen)
	}
	c.Edits = slices.Clone(c.Edits)
	seen := map[string]bool{}
	for i := range c.Edits {
		e := &c.Edits[i]
		if seen[e.Name] {
			return c, errors.Errorf("section %s is edited twice in one change; combine the edits", e.Name)
		}
		seen[e.Name] = true
		if e.Section == nil {
			continue
		}
		if e.Section.Name != e.Name {
			return c, errors.Errorf("edit of section %s contains a section named %s; use the same name for both", e.Name, e.Section.Name)
		}
		n := e.Section.Normalize()
		e.Section = &n
	}
	return c, nil
}

// plan is the effect of a change on a particular state.
type plan struct {
	patches []config.Patch
	// changedEdits are the indexes of the edits that change their section.
	changedEdits []int
	// sections is the document after the change.
	sections []config.Section
}

// planChange computes the effect of a change on a state. It fails with a
// ConflictError or config.Problems.
func planChange(st State, c Change) (plan, error) {
	var p plan
	after := make(map[string]*config.Section, len(c.Edits))
	for i := range c.Edits {
		e := &c.Edits[i]
		old, exists := st.Section(e.Name)
		exists = exists && !old.Removed
		if isUnchanged(old, exists, e.Section) {
			continue
		}
		if old.Revision > e.Base {
			return plan{}, newConflictError(e, old, exists)
		}
		var before *config.Section
		if exists {
			before = &old.Section
		}
		p.patches = append(p.patches, config.MakePatch(before, e.Section))
		p.changedEdits = append(p.changedEdits, i)
		after[e.Name] = e.Section
	}
	p.sections = replaceSections(st, after)
	return p, config.Validate(p.sections)
}

func isUnchanged(old StoredSection, exists bool, want *config.Section) bool {
	if want == nil || !exists {
		return want == nil && !exists
	}
	return old.Section.Checksum() == want.Checksum()
}

func newConflictError(e *Edit, old StoredSection, exists bool) error {
	var before, after []config.Section
	if exists {
		before = []config.Section{old.Section}
	}
	if e.Section != nil {
		after = []config.Section{*e.Section}
	}
	return &ConflictError{
		Section: e.Name,
		Base:    e.Base,
		Current: old.Revision,
		Removed: old.Removed,
		Author:  old.Author,
		Diff:    config.Diff(before, after),
	}
}

// replaceSections returns the document of st with the sections in after replaced
// or added, or removed where the value is nil.
func replaceSections(st State, after map[string]*config.Section) []config.Section {
	var out []config.Section
	added := make(map[string]*config.Section, len(after))
	for name, sec := range after {
		added[name] = sec
	}
	for _, old := range st.Sections {
		sec, ok := after[old.Section.Name]
		delete(added, old.Section.Name)
		switch {
		case !ok:
			if !old.Removed {
				out = append(out, old.Section)
			}
		case sec != nil:
			out = append(out, *sec)
		}
	}
	for _, sec := range added {
		if sec != nil {
			out = append(out, *sec)
		}
	}
	return out
}

// newDelta returns the log entry of a plan.
func (s *Store) newDelta(c Change, p plan, rev uint64) Delta {
	return Delta{Revision: rev, ChangeID: c.ID, Author: c.Author, Message: c.Message, Time: s.now().UTC(), Patches: p.patches}
}

// buildTxn returns the transaction that commits a plan whose log entry is d.
func buildTxn(c Change, p plan, d Delta, headVersion uint64, versions []uint64) platform.Txn {
	txn := platform.Txn{Require: []platform.Precondition{
		{Key: keyHead, Version: headVersion},
		{Key: changeKey(c.ID), Version: 0},
	}}
	rev := d.Revision
	txn.Writes = []platform.Write{
		encodeRow(keyHead, headRow{Format: rowFormat, Revision: rev}),
		encodeRow(logKey(rev), logRow{Format: rowFormat, Delta: d}),
		encodeRow(changeKey(c.ID), changeRow{Format: rowFormat, Revision: rev, Digest: c.digest()}),
	}
	for i, t := range p.changedEdits {
		e := &c.Edits[t]
		txn.Require = append(txn.Require, platform.Precondition{Key: sectionKey(e.Name), Version: versions[i]})
		stored := tombstone(e.Name, c.Author, rev)
		if e.Section != nil {
			stored = StoredSection{Revision: rev, Author: c.Author, Section: *e.Section}
		}
		txn.Writes = append(txn.Writes, encodeRow(sectionKey(e.Name), sectionRow{Format: rowFormat, StoredSection: stored}))
	}
	return txn
}
