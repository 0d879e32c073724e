package eject

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/member"
)

func genTarget(i int) *rapid.Generator[AnnouncedTarget] {
	return rapid.Custom(func(t *rapid.T) AnnouncedTarget {
		slots := rapid.IntRange(0, 20).Draw(t, "slots")
		return AnnouncedTarget{
			Target: member.Target{
				ID:      fmt.Sprintf("h/%02d", i),
				State:   rapid.SampledFrom([]member.TargetState{member.TargetReady, member.TargetReady, member.TargetLeaving, member.TargetGone}).Draw(t, "state"),
				Slots:   slots,
				Limit:   rapid.IntRange(0, 25).Draw(t, "limit"),
				Suspect: rapid.Bool().Draw(t, "suspect"),
				Score:   float64(rapid.IntRange(0, 4).Draw(t, "score")),
			},
			Available: rapid.IntRange(0, 3).Draw(t, "available") > 0,
		}
	})
}

func genTargets(t *rapid.T) []AnnouncedTarget {
	n := rapid.IntRange(0, 14).Draw(t, "n")
	all := make([]AnnouncedTarget, n)
	for i := range all {
		all[i] = genTarget(i).Draw(t, "target")
	}
	return all
}

// capacities computes the capacities independently of Select.
func capacities(all []AnnouncedTarget, ejected []string) (kept, announced int) {
	for _, t := range all {
		if t.State != member.TargetReady {
			continue
		}
		bears := t.Slots
		if t.Limit > 0 && t.Limit < t.Slots {
			bears = t.Limit
		}
		announced += bears
		if t.Available && !slices.Contains(ejected, t.ID) {
			kept += bears
		}
	}
	return kept, announced
}

func checkFloor(t *rapid.T, all []AnnouncedTarget, ejected []string, floor float64) {
	kept, announced := capacities(all, ejected)
	if len(ejected) > 0 && float64(kept) < floor*float64(announced) {
		t.Fatalf("kept %d of %d below floor %.2f, ejected %v", kept, announced, floor, ejected)
	}
}

func TestSelectKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := genTargets(t)
		floor := rapid.Float64Range(0.01, 1).Draw(t, "floor")
		checkFloor(t, all, ejectedIDs(all, floor), floor)
	})
}

// Each daemon has its own stale or partial view of the same targets. Its
// ejections must keep the floor of the capacity announced to it, also when
// members are unreachable.
func TestSelectKeepsFloorForEachDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := genTargets(t)
		floor := rapid.Float64Range(0.01, 1).Draw(t, "floor")
		for range 3 {
			view := slices.Clone(all)
			for i := range view {
				if rapid.Bool().Draw(t, "unreachable") {
					view[i].Available = false
				}
				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
					view[i].Suspect = !view[i].Suspect
				}
			}
			checkFloor(t, view, ejectedIDs(view, floor), floor)
		}
	})
}

// Daemons have the same records but reach different members. Their ejections
// together must keep the floor.
func TestUnionOfEjectionsKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := genTargets(t)
		floor := rapid.Float64Range(0.01, 1).Draw(t, "floor")
		union := ejectedIDs(all, floor)
		for range 3 {
			view := slices.Clone(all)
			for i := range view {
				if rapid.Bool().Draw(t, "unreachable") {
					view[i].Available = false
				}
			}
			for _, id := range ejectedIDs(view, floor) {
				if !slices.Contains(union, id) {
					union = append(union, id)
				}
			}
		}
		checkFloor(t, all, union, floor)
	})
}

// Daemons with the same records must reach the same decision.
func TestSelectIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := genTargets(t)
		floor := rapid.Float64Range(0.01, 1).Draw(t, "floor")
		shuffled := rapid.Permutation(all).Draw(t, "order")
		assert.DeepEqual(t, Select(all, floor), Select(shuffled, floor))
	})
}

func sixTargets(suspects ...int) []AnnouncedTarget {
	all := make([]AnnouncedTarget, 6)
	for i := range all {
		all[i] = AnnouncedTarget{Available: true, Target: member.Target{ID: fmt.Sprintf("h/%d", i), State: member.TargetReady, Slots: 7, Limit: 7}}
	}
	for rank, i := range suspects {
		all[i].Suspect = true
		all[i].Score = float64(100 - rank)
	}
	return all
}

func TestSelect(t *testing.T) {
	unreachable := sixTargets(0)
	unreachable[1].Available, unreachable[2].Available, unreachable[3].Available = false, false, false
	cold := sixTargets(0)
	for i := 1; i < 6; i++ {
		cold[i].Limit = 1
	}
	leaving := sixTargets(0, 1)
	for i := 3; i < 6; i++ {
		leaving[i].State = member.TargetLeaving
	}
	for _, tc := range []struct {
		name  string
		all   []AnnouncedTarget
		floor float64
		want  []string
	}{
		{"healthy", sixTargets(), 0.5, nil},
		{"one suspect", sixTargets(4), 0.5, []string{"h/4"}},
		{"worst first up to the floor", sixTargets(5, 1, 3, 0), 0.5, []string{"h/5", "h/1", "h/3"}},
		{"floor 1 ejects nothing", sixTargets(4), 1, nil},
		{"unreachable members count as announced", unreachable, 0.5, nil},
		{"cold targets have little capacity", cold, 0.5, nil},
		{"leaving targets do not count", leaving, 0.6, []string{"h/0"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, ejectedIDs(tc.all, tc.floor), tc.want)
		})
	}
}

func ejectedIDs(all []AnnouncedTarget, floor float64) []string { return Select(all, floor).Ejected }
