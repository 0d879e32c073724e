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
