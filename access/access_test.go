package access

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against routes that open when the last workspace or key is taken away: only a
// configuration that states that it has no workspaces opens a route.
func TestNeedsKey(t *testing.T) {
	cases := []struct {
		name string
		rule Rule
		want bool
	}{
		{"no list", Rule{Workspaces: None}, false},
		{"no list, open route", Rule{Workspaces: None, Open: true}, false},
		{"list, empty or not", Rule{Workspaces: Listed}, true},
		{"list, open route", Rule{Workspaces: Listed, Open: true}, false},
		{"nothing stated", Rule{}, true},
		{"nothing stated, open route", Rule{Open: true}, false},
		{"a state that this version does not know", Rule{Workspaces: Listed + 1}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.rule.NeedsKey(), c.want)
			assert.Equal(t, c.rule.Reason() == "", c.want, "a reason for each route without a key, and for no other")
		})
	}
}

// Guards against a request that runs because its host has not seen yet that keys are needed,
// or that the workspace of its key is gone.
func TestAdmits(t *testing.T) {
	exists := func(w string) bool { return w == "w" }
	keyed, open, free := Rule{Workspaces: Listed}, Rule{Workspaces: Listed, Open: true}, Rule{Workspaces: None}
	cases := []struct {
		name   string
		rule   Rule
		sender Sender
		want   bool
	}{
		{"older sender without a key", keyed, Sender{Older: true}, false},
		{"older sender, workspace exists", keyed, Sender{Older: true, Workspace: "w"}, true},
		{"older sender, workspace gone", keyed, Sender{Older: true, Workspace: "v"}, false},
		{"older sender, open route", open, Sender{Older: true}, true},
		{"older sender, no list", free, Sender{Older: true}, true},
		{"older sender, no list any more", free, Sender{Older: true, Workspace: "w"}, true},
		{"older sender, nothing stated", Rule{}, Sender{Older: true}, false},
		{"sender as new, without a key", keyed, Sender{}, true},
		{"sender as new, workspace unknown here", keyed, Sender{Workspace: "v"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.rule.Admits(c.sender, exists), c.want)
		})
	}
}
