package routes

import (
	"testing"

	"gotest.tools/v3/assert"
)

func document() Document {
	return Document{
		Revision: 3,
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Services: []WeightedService{{"s", 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: []WeightedService{{"t", 1}}},
			{Name: "root", Host: "b.example", Prefix: "/", Services: []WeightedService{{"s", 1}}},
		},
		Workspaces: []Workspace{{Name: "w"}},
		Keys:       []Key{{"k1", "w"}, {"k2", "w"}},
	}
}

func TestMatch(t *testing.T) {
	c, err := New(document())
	assert.NilError(t, err)
	cases := []struct{ host, path, route string }{
		{"a.example", "/x/", "short"},
		{"a.example", "/x/1", "short"},
		{"A.Example:8080", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/yy/1", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/anything/at/all", "root"},
		{"c.example", "/x/1", ""},
		{"", "", ""},
	}
	for _, tc := range cases {
		r, ok := c.Match(tc.host, tc.path)
		assert.Equal(t, ok, tc.route != "", "%s %s", tc.host, tc.path)
		if ok {
			assert.Equal(t, r.Name, tc.route)
		}
	}
}

func TestWorkspaceByKey(t *testing.T) {
	c, err := New(document())
	assert.NilError(t, err)
	w, ok := c.WorkspaceByKey("k2")
	assert.Assert(t, ok && w.Name == "w")
	_, ok = c.WorkspaceByKey("")
	assert.Assert(t, !ok)
}

func TestInvalidDocuments(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *Document)
		want   string
	}{
		{"prefix", func(d *Document) { d.Routes[0].Prefix = "/x" }, "must begin and end with a slash"},
		{"service", func(d *Document) { d.Routes[0].Services[0].Service = "no" }, `service "no", which does not exist`},
		{"no part", func(d *Document) { d.Routes[0].Services = nil }, "names no service"},
		{"key", func(d *Document) { d.Keys[0].Workspace = "no" }, `workspace "no", which does not exist`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := document()
			c.change(&d)
			_, err := New(d)
			assert.ErrorContains(t, err, c.want)
		})
	}
}
