package eject

import (
	"cmp"
	"slices"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// Announced is one announced target of a service.
type Announced struct {
	member.Target
	// Available is false when the target's host is unreachable, departing or
	// in a data centre that is out.
	Available bool
}

// Verdict is the result of Set.
type Verdict struct {
	// Ejected lists target IDs in the order of ejection, worst first.
	Ejected []string
	// Held counts suspects that the floor kept in use.
	Held int
	// AnnouncedCapacity is the capacity of all targets not departing.
	AnnouncedCapacity int
	// KeptCapacity is the available capacity that remains in use.
	KeptCapacity int
}

// Set returns the ejection set of one service. all holds every announced target
// of the service, those of unreachable hosts too; floor is a fraction in (0, 1].
// KeptCapacity >= floor*AnnouncedCapacity holds whenever Ejected is not empty.
//
// Ejection stops at the first suspect that the floor forbids. It does not go on
// to smaller ones, so that a decider that has lost members from sight ejects a
// subset of what one that sees all ejects: what they eject together keeps the
// floor as well.
func Set(all []Announced, floor float64) Verdict {
	var v Verdict
	var suspects []Announced
	for _, t := range all {
		if t.State != member.TargetReady {
			continue
		}
		v.AnnouncedCapacity += Capacity(t.Target)
		if !t.Available {
			continue
		}
		v.KeptCapacity += Capacity(t.Target)
		if t.Suspect {
			suspects = append(suspects, t)
		}
	}
	slices.SortFunc(suspects, compareSuspects)
	minCapacity := floor * float64(v.AnnouncedCapacity)
	for i, t := range suspects {
		kept := v.KeptCapacity - Capacity(t.Target)
		if float64(kept) < minCapacity || kept <= 0 {
			v.Held = len(suspects) - i
			break
		}
		v.KeptCapacity = kept
		v.Ejected = append(v.Ejected, t.ID)
	}
	return v
}

// Capacity is how many requests a target bears now; a cold one less than its
// slots.
func Capacity(t member.Target) int {
	slots := max(t.Slots, 0)
	if t.Limit > 0 {
		return min(t.Limit, slots)
	}
	return slots
}

func compareSuspects(a, b Announced) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}
