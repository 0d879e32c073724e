package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const digestA = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const validDocument = `base: 7
sections:
  - name: places
    team: platform
    datacentres:
      - {name: alfold-1, region: alfold}
      - {name: alfold-2, region: alfold, state: out}
  - name: orders
    team: orders
    workspaces:
      - name: retail-1
        rate: 50/s
        burst: 20
        keys:
          - {id: retail-1-a, sha256: ` + digestA + `}
      - {name: parish-12, rate: 30/m, burst: 5, weight: 2}
    services:
      - {name: orders, floor: 0.7, timeout: 2s, queue: 8}
    routes:
      - {path: /orders, service: orders, workspaces: [retail-1]}
      - {path: /orders/status, service: orders, access: open, idempotent: [GET]}
`

func TestParseValidDocument(t *testing.T) {
	doc, err := ParseDocument("doc.yaml", []byte(validDocument))
	assert.NilError(t, err)
	assert.Equal(t, doc.Base, uint64(7))
	assert.NilError(t, Validate(doc.Sections))
	text, err := Marshal(doc)
	assert.NilError(t, err)
	again, err := ParseDocument("again.yaml", text)
	assert.NilError(t, err)
	assert.Equal(t, Diff(doc.Sections, again.Sections), "")
	assert.Equal(t, again.Base, doc.Base)
}

// TestParseProblems checks the reported position, message and remedy for each
// kind of error.
func TestParseProblems(t *testing.T) {
	tests := []struct{ name, from, to, place, message, remedy string }{
		{"unknown field", "team: orders", "team: orders\n    tema: x", "10:5", `unknown field "tema"`, "use name, team, datacentres"},
		{"missing field", "burst: 20\n", "\n", "11:9", `lacks the field "burst"`, "add it"},
		{"field twice", "burst: 20\n", "burst: 20\n        burst: 30\n", "14:9", "twice", "keep one"},
		{"rate without unit", "50/s", "50", "12:15", `rate cannot be "50"`, "like 50/s"},
		{"rate with wrong unit", "50/s", "50/d", "12:15", "no unit", "like 50/s"},
		{"rate with exponent", "50/s", "5e1/s", "12:15", "not a number", "like 50/s"},
		{"rate of zero", "50/s", "0/s", "12:15", "cannot be 0/s", "above 0/s"},
		{"time without unit", "timeout: 2s", "timeout: 2", "18:45", `timeout cannot be "2"`, "like 5s"},
		{"time with wrong unit", "timeout: 2s", "timeout: 2 sec", "18:45", "not a duration", "like 5s"},
		{"negative time", "timeout: 2s", "timeout: -2s", "18:45", "cannot be -2s", "from 1ms to 1h"},
		{"floor of zero", "0.7", "0", "18:31", "floor cannot be 0", "above 0 and at most 1"},
		{"floor above one", "0.7", "1.01", "18:31", "floor cannot be 1.01", "above 0 and at most 1"},
		{"floor not a number", "0.7", ".nan", "18:31", "floor cannot be .nan", "above 0 and at most 1"},
		{"queue too long", "queue: 8", "queue: 100001", "18:56", "queue cannot be 100001", "from 1 to 100000"},
		{"text for number", "burst: 20", "burst: many", "13:16", `burst cannot be "many"`, "like 20"},
		{"bad name", "name: parish-12", "name: Parish", "16:9", `workspace name "Parish"`, "lower-case"},
		{"workspace twice", "name: parish-12", "name: retail-1", "16:9", `"retail-1" is already`, "rename or remove"},
		{"route twice", "path: /orders/status", "path: /orders", "21:9", `"/orders" is already`, "rename or remove"},
		{"route with trailing slash", "path: /orders/status", "path: /orders/", "21:9", "not valid", "remove the trailing /"},
		{"route with dots", "path: /orders/status", "path: /x/../orders", "21:9", "not valid", "remove empty"},
		{"escaped route", "path: /orders/status", "path: /orders%2fstatus", "21:9", "not valid", "letters"},
		{"bad digest", digestA, digestA[:62] + "zz", "15:13", "not a digest", "64 hexadecimal digits"},
		{"open with workspaces", "workspaces: [retail-1]", "workspaces: [retail-1], access: open", "20:9", "is open and lists", "make it keyed"},
		{"empty list", "[retail-1]", "[]", "20:54", "an empty list", "omit the field"},
		{"method in small letters", "[GET]", "[get]", "21:9", `method "get"`, "in capitals"},
		{"bad access", "access: open", "access: public", "21:9", `cannot be "public"`, "keyed or open"},
		{"bad state", "state: out", "state: gone", "7:9", `cannot be "gone"`, "in or out"},
		{"alias", "team: orders", "team: *x", "", "unknown anchor", "one YAML document"},
		{"anchor", "team: orders", "team: &x orders", "9:11", "has an anchor", "remove the anchor"},
		{"tag", "team: orders", "team: !!binary aGk=", "9:11", "has a tag", "remove the tag"},
		{"mapping for list", "[retail-1]", "{a: b}", "20:54", "is a mapping", "write a list"},
		{"two documents", "base: 7", "base: 7\nsections: []\n---\nbase: 8", "", "second document", "one YAML document"},
		{"syntax", "team: orders", "team: [orders", "", "line ", "one YAML document"},
		{"old base", "base: 7", "base: 0", "1:7", "base cannot be 0", "from 1"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validDocument, tc.from))
			text := strings.Replace(validDocument, tc.from, tc.to, 1)
			sections, err := Parse("doc.yaml", []byte(text))
			assert.ErrorContains(t, err, "doc.yaml:"+tc.place)
			assert.ErrorContains(t, err, tc.message)
			assert.ErrorContains(t, err, tc.remedy)
			assert.Assert(t, sections == nil)
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer("50/s", "50", "30/m", "x", "0.7", "7").Replace(validDocument)
	_, err := Parse("doc.yaml", []byte(text))
	problems, ok := err.(Problems)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, len(problems), 3)
	assert.Assert(t, problems[0].Line < problems[1].Line && problems[1].Line < problems[2].Line)
}

func TestReferencesAcrossSections(t *testing.T) {
	doc, err := ParseDocument("doc.yaml", []byte(validDocument))
	assert.NilError(t, err)
	orders := doc.Sections[1]
	orders.Services = nil
	err = Validate([]Section{doc.Sections[0], orders})
	assert.ErrorContains(t, err, `doc.yaml:20:9: section orders: route /orders names the unknown service "orders"`)
	again := orders
	again.Name = "copy"
	err = Validate([]Section{doc.Sections[1], again})
	assert.ErrorContains(t, err, `workspace "retail-1" is already in section "orders"`)
	assert.ErrorContains(t, err, `key digest "`+digestA+`" is already in section "orders"`)
}

func TestMaliciousDocumentsAreRejected(t *testing.T) {
	bomb := "sections: &a [x, x]\n"
	for i := range 30 {
		bomb += fmt.Sprintf("k%d: &k%d [*a, *a, *a, *a]\n", i, i)
	}
	for name, text := range map[string]string{
		"aliases":     bomb,
		"deep flow":   "sections: " + strings.Repeat("[", 100_000),
		"deep blocks": strings.Repeat("- ", 100_000),
		"too long":    strings.Repeat("#", MaxDocumentBytes+1),
		"empty":       "",
		"null":        "~",
		"merge":       "sections: []\n<<: {a: b}",
	} {
		_, err := Parse(name, []byte(text))
		assert.Assert(t, err != nil, name)
		assert.Assert(t, len(err.Error()) < 10_000, "%s: message of %d bytes", name, len(err.Error()))
	}
}

func TestUnitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SampledFrom([]string{"/s", "/m", "/h"}).Draw(t, "unit")
		r, err := ParseRate(fmt.Sprint(rapid.IntRange(1, 1_000_000).Draw(t, "n")) + unit)
		assert.NilError(t, err)
		again, err := ParseRate(r.String())
		assert.NilError(t, err)
		assert.Equal(t, r, again)
		d := Duration(rapid.Int64Range(1, int64(MaxTimeout)).Draw(t, "d"))
		span, err := ParseDuration(d.String())
		assert.NilError(t, err)
		assert.Equal(t, span, d)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validDocument)
	f.Add("sections: []")
	f.Add("sections: &a [*a]")
	f.Add("sections:\n  - {name: a, team: b, routes: [{path: /, service: s, idempotent: [none]}]}")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := ParseDocument("f.yaml", []byte(text))
		if err != nil {
			return
		}
		out, err := Marshal(doc)
		assert.NilError(t, err)
		again, err := ParseDocument("g.yaml", out)
		assert.NilError(t, err, "%s", out)
		assert.Equal(t, Diff(doc.Sections, again.Sections), "")
	})
}
