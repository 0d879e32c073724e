package eject

import (
	"cmp"
	"slices"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// AnnouncedTarget is a target of a service as announced by its daemon.
type AnnouncedTarget struct {
	member.Target
	// Available is false if the target's host is unreachable, leaving or in a
	// data centre that has been taken out of service.
	Available bool
}

// Selection is the result of Select.
type Selection struct {
	// Ejected lists target IDs in the order of ejection, worst first.
	Ejected []string
	// HeldByFloor is the number of suspects that stay in use because of the
	// floor.
	HeldByFloor int
	// AnnouncedCapacity is the capacity of all ready targets.
	AnnouncedCapacity int
	// RemainingCapacity is the available capacity that stays in use.
	RemainingCapacity int
}

// Select returns the targets of one service to eject. all holds every announced
// target of the service, including those of unreachable hosts; floor is a
// fraction in (0, 1]. If Ejected is not empty, RemainingCapacity is at least
// floor*AnnouncedCapacity.
//
// Ejection stops at the first suspect whose ejection would violate the floor and
// does not continue with smaller ones. A daemon that cannot reach all members
// therefore ejects a subset of what a daemon that reaches all of them ejects,
// and their ejections together keep the floor.
func Select(all []AnnouncedTarget, floor float64) Selection {
	var v Selection
	var suspects []AnnouncedTarget
	for _, t := range all {
		if t.State != member.TargetReady {
			continue
		}
		v.AnnouncedCapacity += Capacity(t.Target)
		if !t.Available {
			continue
		}
		v.RemainingCapacity += Capacity(t.Target)
		if t.Suspect {
			suspects = append(suspects, t)
		}
	}
	slices.SortFunc(suspects, compareSuspects)
	minCapacity := floor * float64(v.AnnouncedCapacity)
	for i, t := range suspects {
		kept := v.RemainingCapacity - Capacity(t.Target)
		if float64(kept) < minCapacity || kept <= 0 {
			v.HeldByFloor = len(suspects) - i
			break
		}
		v.RemainingCapacity = kept
		v.Ejected = append(v.Ejected, t.ID)
	}
	return v
}

// Capacity is the current concurrency limit of a target; that of a cold target
// is below its slots.
func Capacity(t member.Target) int {
	slots := max(t.Slots, 0)
	if t.Limit > 0 {
		return min(t.Limit, slots)
	}
	return slots
}

func compareSuspects(a, b AnnouncedTarget) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}
