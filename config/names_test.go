package config

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// listForms are the forms of a list of a route, and what they admit.
var listForms = []struct {
	name       string
	list       []string
	allowsW    bool
	repeatsGET bool
}{
	{"absent", nil, true, true},
	{"empty", []string{}, false, false},
	{"named", []string{"v"}, false, false},
	{"naming it", []string{"w", "GET"}, true, true},
}

func sectionWith(list []string) *Section {
	s := Section{Name: "s", Team: "t",
		Workspaces: []Workspace{{Name: "w", Rate: 1, Burst: 1}, {Name: "v", Rate: 1, Burst: 1}},
		Services:   []Service{{Name: "svc"}},
		Routes:     []Route{{Path: "/r", Service: "svc", Workspaces: list, Idempotent: list}}}
	s = s.Normalize()
	return &s
}

// Guards against a list that becomes empty on its way being read as one that is absent: a
// restricted route would admit every workspace, and a method that must not be repeated would be.
func TestEmptyListIsNotTakenForAnAbsentOne(t *testing.T) {
	check := func(t *testing.T, how string, r *Route, form int) {
		t.Helper()
		assert.Equal(t, r.Allows("w"), listForms[form].allowsW, how)
		assert.Equal(t, r.IsIdempotent("GET"), listForms[form].repeatsGET, how)
		assert.Assert(t, !r.Allows(""), how)
	}
	for from := range listForms {
		for to := range listForms {
			t.Run(listForms[from].name+" to "+listForms[to].name, func(t *testing.T) {
				old, next := sectionWith(listForms[from].list), sectionWith(listForms[to].list)
				snap := BuildUnvalidated(1, []Section{*old})
				r, _ := snap.MatchRoute("/r")
				check(t, "built", r, from)

				data, err := json.Marshal(next)
				assert.NilError(t, err)
				var row Section
				assert.NilError(t, json.Unmarshal(data, &row))
				r, _ = BuildUnvalidated(2, []Section{row}).MatchRoute("/r")
				check(t, "row", r, to)
				assert.Equal(t, row.Checksum(), next.Checksum())
				assert.Equal(t, row.Checksum() == old.Checksum(), from == to)

				data, err = json.Marshal(MakePatch(old, next))
				assert.NilError(t, err)
				var patch Patch
				assert.NilError(t, json.Unmarshal(data, &patch))
				applied, err := patch.Apply(old)
				assert.NilError(t, err)
				r, _ = BuildUnvalidated(2, []Section{*applied}).MatchRoute("/r")
				check(t, "patched section", r, to)
				r, _ = snap.Advance(2, []Patch{patch}).MatchRoute("/r")
				check(t, "advanced snapshot", r, to)
				assert.Equal(t, Diff([]Section{*old}, []Section{*next}) == "", from == to, "shown to operators")

				shown, err := Marshal(Document{Sections: []Section{*next}})
				assert.NilError(t, err)
				assert.Equal(t, strings.Contains(string(shown), "workspaces: []"), listForms[to].name == "empty", string(shown))
			})
		}
	}
}

// Guards against accepting a document in which a list that restricts a route is empty.
func TestEmptyListOfARouteIsInvalid(t *testing.T) {
	for _, field := range []string{"workspaces", "idempotent"} {
		s := sectionWith(nil)
		if field == "workspaces" {
			s.Routes[0].Workspaces = []string{}
		} else {
			s.Routes[0].Idempotent = []string{}
		}
		_, err := Build(1, []Section{*s})
		assert.ErrorContains(t, err, field+" of route /r is an empty list")
	}
}

// Guards against a row that does not tell an absent list from an empty one.
func TestNullListOfNamesIsRefused(t *testing.T) {
	for _, value := range []string{`null`, `""`, `{}`, `[null,1]`} {
		var r Route
		err := json.Unmarshal([]byte(`{"path":"/r","service":"s","workspaces":`+value+`}`), &r)
		assert.ErrorContains(t, err, "list of names", value)
	}
}
