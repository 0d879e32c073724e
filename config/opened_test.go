package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against routes that open without a trace.
func TestOpenedSince(t *testing.T) {
	build := func(access Access, paths ...string) *Snapshot {
		s := Section{Name: "s", Team: "t", Services: []Service{{Name: "svc"}}}
		for _, path := range paths {
			s.Routes = append(s.Routes, Route{Path: path, Service: "svc", Access: access})
		}
		return BuildUnvalidated(1, []Section{s})
	}
	open, keyed := build(AccessOpen, "/b", "/a"), build("", "/a", "/b")
	assert.DeepEqual(t, open.OpenedSince(nil), []string{"/a", "/b"})
	assert.DeepEqual(t, open.OpenedSince(keyed), []string{"/a", "/b"})
	assert.DeepEqual(t, build(AccessOpen, "/a", "/c").OpenedSince(build(AccessOpen, "/a")), []string{"/c"})
	assert.Equal(t, len(keyed.OpenedSince(open)), 0)
	assert.Equal(t, len(build("opened", "/a").OpenedSince(nil)), 0, "an access that this version does not know opens nothing")
}
