package config

import (
	"strconv"

	"go.yaml.in/yaml/v3"
)

// field describes one key of a mapping and decodes its value.
type field struct {
	name     string
	required bool
	decode   func(*decoder, *yaml.Node)
}

// decoder decodes YAML nodes. It reports all problems instead of stopping at the
// first.
type decoder struct{ reporter }

func positionOf(n *yaml.Node) position {
	return position{line: int32(n.Line), column: int32(n.Column)}
}

// mapping decodes a mapping that may have the given fields.
func (d *decoder) mapping(n *yaml.Node, what string, fields []field) {
	if !d.expectKind(n, yaml.MappingNode, what) {
		return
	}
	seen := make([]bool, len(fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		d.mappingEntry(key, value, what, fields, seen)
	}
	for i, f := range fields {
		if f.required && !seen[i] {
			d.report(positionOf(n), "add it", "%s lacks the field %q", what, f.name)
		}
	}
}

func (d *decoder) mappingEntry(key, value *yaml.Node, what string, fields []field, seen []bool) {
	for i, f := range fields {
		if key.Kind != yaml.ScalarNode || key.Value != f.name {
			continue
		}
		if seen[i] {
			d.report(positionOf(key), "keep one of them", "%s has the field %q twice", what, f.name)
			return
		}
		seen[i] = true
		f.decode(d, value)
		return
	}
	d.report(positionOf(key), "use "+fieldNames(fields), "%s has the unknown field %q", what, truncate(key.Value))
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

// truncate limits the length of text that is quoted in messages.
func truncate(s string) string {
	const limit = 80
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}

// expectKind reports a problem unless n is a node of the given kind without
// alias, anchor or tag.
func (d *decoder) expectKind(n *yaml.Node, kind yaml.Kind, what string) bool {
	switch {
	case n.Kind == yaml.AliasNode:
		d.report(positionOf(n), "write the value itself", "%s is an alias", what)
	case n.Anchor != "":
		d.report(positionOf(n), "remove the anchor", "%s has an anchor", what)
	case n.Style&yaml.TaggedStyle != 0:
		d.report(positionOf(n), "remove the tag", "%s has a tag", what)
	case n.Kind != kind:
		d.report(positionOf(n), "write "+kindName(kind), "%s is %s", what, kindName(n.Kind))
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

// sequence calls item for each element of a list.
func (d *decoder) sequence(n *yaml.Node, what string, item func(*yaml.Node)) {
	if !d.expectKind(n, yaml.SequenceNode, what) {
		return
	}
	for _, c := range n.Content {
		item(c)
	}
}

// scalar returns the text of a scalar whose tag is one of tags.
func (d *decoder) scalar(n *yaml.Node, what, example string, tags ...string) (string, bool) {
	if !d.expectKind(n, yaml.ScalarNode, what) {
		return "", false
	}
	tag := n.ShortTag()
	for _, t := range tags {
		if tag == t {
			return n.Value, true
		}
	}
	d.report(positionOf(n), "write it like "+example, "%s cannot be %q", what, truncate(n.Value))
	return "", false
}

func (d *decoder) text(n *yaml.Node, what string) string {
	s, _ := d.scalar(n, what, `"text"`, "!!str", "!!int", "!!float", "!!bool", "!!timestamp")
	return s
}

func (d *decoder) textList(n *yaml.Node, what string) []string {
	out := []string{}
	d.sequence(n, what, func(c *yaml.Node) { out = append(out, d.text(c, what)) })
	return out
}

func (d *decoder) integer(n *yaml.Node, what, example string, low, high int) int {
	s, ok := d.scalar(n, what, example, "!!int")
	if !ok {
		return 0
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < low || v > high {
		d.report(positionOf(n), "write a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%s cannot be %s", what, truncate(s))
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
		d.report(positionOf(n), "write a number above 0 and at most 1, like 0.5", "%s cannot be %s", what, truncate(s))
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
		d.report(positionOf(n), "write it with its unit, like 5s or 250ms", "%s: %v", what, err)
		return 0
	}
	if v < MinTimeout || v > MaxTimeout {
		d.report(positionOf(n), "write a time from "+MinTimeout.String()+" to "+MaxTimeout.String(), "%s cannot be %s", what, s)
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
		d.report(positionOf(n), "write it with its unit, like 50/s or 30/m", "%s: %v", what, err)
		return 0
	}
	if !(v > 0 && v <= MaxRate) {
		d.report(positionOf(n), "write a rate above 0/s and at most "+MaxRate.String(), "%s cannot be %s", what, s)
		return 0
	}
	return v
}
