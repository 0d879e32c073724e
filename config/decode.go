package config

import (
	"strconv"

	"go.yaml.in/yaml/v3"
)

// field decodes the value of one mapping key.
type field struct {
	name     string
	required bool
	decode   func(*decoder, *yaml.Node)
}

// decoder walks YAML nodes and reports problems. It never stops at the first.
type decoder struct{ reporter }

func at(n *yaml.Node) position {
	return position{line: int32(n.Line), column: int32(n.Column)}
}

// mapping decodes a mapping by its fields.
func (d *decoder) mapping(n *yaml.Node, what string, fields []field) {
	if !d.expect(n, yaml.MappingNode, what) {
		return
	}
	seen := make([]bool, len(fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		d.entry(key, value, what, fields, seen)
	}
	for i, f := range fields {
		if f.required && !seen[i] {
			d.report(at(n), "add it", "%s lacks the field %q", what, f.name)
		}
	}
}

func (d *decoder) entry(key, value *yaml.Node, what string, fields []field, seen []bool) {
	for i, f := range fields {
		if key.Kind != yaml.ScalarNode || key.Value != f.name {
			continue
		}
		if seen[i] {
			d.report(at(key), "keep one of them", "%s has the field %q twice", what, f.name)
			return
		}
		seen[i] = true
		f.decode(d, value)
		return
	}
	d.report(at(key), "use "+fieldNames(fields), "%s has the unknown field %q", what, shorten(key.Value))
}

func fieldNames(fields []field) string {
	s := ""
	for i, f := range fields {
		switch {
		case i == 0:
		case i == len(fields)-1:
			s += " or "
		default:
			s += ", "
		}
		s += f.name
	}
	return s
}

// shorten bounds text that is quoted in messages.
func shorten(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}

// expect reports n unless it is a plain node of the kind wanted.
func (d *decoder) expect(n *yaml.Node, kind yaml.Kind, what string) bool {
	switch {
	case n.Kind == yaml.AliasNode:
		d.report(at(n), "write the value out", "%s is an alias", what)
	case n.Anchor != "":
		d.report(at(n), "remove the anchor", "%s has an anchor", what)
	case n.Style&yaml.TaggedStyle != 0:
		d.report(at(n), "remove the tag", "%s has a tag", what)
	case n.Kind != kind:
		d.report(at(n), "write "+kindName(kind), "%s is %s", what, kindName(n.Kind))
	default:
		return true
	}
	return false
}

func kindName(k yaml.Kind) string {
	switch k {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return "a single value"
	}
}

// each decodes the items of a list.
func (d *decoder) each(n *yaml.Node, what string, item func(*yaml.Node)) {
	if !d.expect(n, yaml.SequenceNode, what) {
		return
	}
	for _, c := range n.Content {
		item(c)
	}
}

// scalar returns the text of a scalar with one of the tags.
func (d *decoder) scalar(n *yaml.Node, what, example string, tags ...string) (string, bool) {
	if !d.expect(n, yaml.ScalarNode, what) {
		return "", false
	}
	tag := n.ShortTag()
	for _, t := range tags {
		if tag == t {
			return n.Value, true
		}
	}
	d.report(at(n), "write it like "+example, "%s cannot be %q", what, shorten(n.Value))
	return "", false
}

func (d *decoder) text(n *yaml.Node, what string) string {
	s, _ := d.scalar(n, what, `"text"`, "!!str", "!!int", "!!float", "!!bool", "!!timestamp")
	return s
}

func (d *decoder) texts(n *yaml.Node, what string) []string {
	out := []string{}
	d.each(n, what, func(c *yaml.Node) { out = append(out, d.text(c, what)) })
	return out
}

func (d *decoder) integer(n *yaml.Node, what, example string, low, high int) int {
	s, ok := d.scalar(n, what, example, "!!int")
	if !ok {
		return 0
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < low || v > high {
		d.report(at(n), "write a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%s cannot be %s", what, shorten(s))
		return 0
	}
	return v
}

func (d *decoder) fraction(n *yaml.Node, what string) float64 {
	s, ok := d.scalar(n, what, "0.5", "!!float", "!!int")
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v > 0 && v <= 1) {
		d.report(at(n), "write a number above 0 and at most 1, like 0.5", "%s cannot be %s", what, shorten(s))
		return 0
	}
	return v
}

func (d *decoder) boolean(n *yaml.Node, what string) bool {
	s, _ := d.scalar(n, what, "true", "!!bool")
	return s == "true" || s == "True" || s == "TRUE"
}

func (d *decoder) duration(n *yaml.Node, what string) Duration {
	s, ok := d.scalar(n, what, "5s", "!!str")
	if !ok {
		return 0
	}
	v, err := ParseDuration(s)
	if err != nil {
		d.report(at(n), "write it with its unit, like 5s or 250ms", "%s: %v", what, err)
		return 0
	}
	if v < MinTimeout || v > MaxTimeout {
		d.report(at(n), "write a time from "+MinTimeout.String()+" to "+MaxTimeout.String(), "%s cannot be %s", what, s)
		return 0
	}
	return v
}

func (d *decoder) rate(n *yaml.Node, what string) Rate {
	s, ok := d.scalar(n, what, "50/s", "!!str")
	if !ok {
		return 0
	}
	v, err := ParseRate(s)
	if err != nil {
		d.report(at(n), "write it with its unit, like 50/s or 30/m", "%s: %v", what, err)
		return 0
	}
	if !(v > 0 && v <= MaxRate) {
		d.report(at(n), "write a rate above 0/s and at most "+MaxRate.String(), "%s cannot be %s", what, s)
		return 0
	}
	return v
}
