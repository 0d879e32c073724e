package rawanswer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards the tables by the grammar, and the grammar by the tables.
func TestTablesFollowTheGrammar(t *testing.T) {
	for _, f := range Framings {
		for _, c := range Broken {
			if c.Has(f) {
				a, ok := Parse([]byte(c.Bytes(f, "")))
				assert.Assert(t, !ok, "broken: %s, %s: %+v", c.Name, f, a)
			}
		}
		for _, c := range Sound {
			if c.Has(f) {
				a, ok := Parse([]byte(c.Bytes(f, "")))
				assert.Assert(t, ok, "sound: %s, %s", c.Name, f)
				assert.Equal(t, a.Body, Body, "sound: %s, %s", c.Name, f)
				assert.Equal(t, a.Unframed, f == Unframed, "sound: %s, %s", c.Name, f)
			}
		}
	}
}
