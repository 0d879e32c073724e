package storecopy

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against believing a copy that lists what has left, or that lacks what is there.
func TestKeepsHost(t *testing.T) {
	none := Host{}
	present := Host{Listed: true, Target: "a"}
	departed := Host{Listed: true, Departed: true, Target: "a"}
	successor := Host{Listed: true, Target: "b"}
	cases := []struct {
		name          string
		known, copied Host
		keeps         bool
	}{
		{"nothing known", none, none, false},
		{"same row", present, present, false},
		{"written after the copy", present, none, true},
		{"removed after the copy", none, present, true},
		{"departed after the copy", departed, present, true},
		{"departed in both", departed, departed, false},
		{"departed only in the copy", present, departed, false},
		{"another target in the copy", departed, successor, false},
		{"departed, and the copy is older than the row", departed, none, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, KeepsHost(c.known, c.copied), c.keeps) })
	}
}

// Guards against sending requests to a data centre whose evacuation the copy lacks.
func TestKeepsEvacuation(t *testing.T) {
	assert.Assert(t, KeepsEvacuation(true, false))
	assert.Assert(t, !KeepsEvacuation(true, true))
	assert.Assert(t, !KeepsEvacuation(false, true))
	assert.Assert(t, !KeepsEvacuation(false, false))
}
