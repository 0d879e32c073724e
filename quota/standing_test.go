package quota

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an owner that tells "I don't know" as "the rate is exceeded", or as "there
// is no limit".
func TestStandingOfAnOwner(t *testing.T) {
	limited := func(revision uint64) OwnerConfig { return OwnerConfig{true, revision, true, true} }
	unlimited := func(revision uint64) OwnerConfig { return OwnerConfig{true, revision, true, false} }
	unlisted := func(revision uint64) OwnerConfig { return OwnerConfig{true, revision, false, false} }
	cases := []struct {
		name  string
		owner OwnerConfig
		asker uint64
		want  Standing
	}{
		{"no configuration", OwnerConfig{}, 5, StandingUnknown},
		{"no configuration, asker does not state its own", OwnerConfig{}, 0, StandingUnknown},
		{"limited", limited(5), 5, StandingLimited},
		{"limited, owner older", limited(4), 5, StandingLimited},
		{"limited, owner newer", limited(6), 5, StandingLimited},
		{"limited, asker does not state its own", limited(6), 0, StandingLimited},
		{"unlimited", unlimited(5), 5, StandingUnlimited},
		{"unlimited, owner newer", unlimited(6), 5, StandingUnlimited},
		{"unlimited, owner older", unlimited(4), 5, StandingUnknown},
		{"not listed", unlisted(5), 5, StandingUnknown},
		{"not listed, owner older", unlisted(4), 5, StandingUnknown},
		{"not listed, owner newer", unlisted(6), 5, StandingGone},
		{"not listed, asker does not state its own", unlisted(6), 0, StandingUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.owner.Standing(c.asker), c.want) })
	}
}
