package config

import "go.yaml.in/yaml/v3"

func (d *decoder) section(n *yaml.Node) Section {
	s := Section{source: source{file: d.file, pos: positionOf(n)}}
	d.reporter.section = sectionName(n)
	d.mapping(n, "section", []field{
		{name: "name", required: true, decode: func(d *decoder, n *yaml.Node) { s.Name = d.text(n, "name") }},
		{name: "team", required: true, decode: func(d *decoder, n *yaml.Node) { s.Team = d.text(n, "team") }},
		{name: "datacentres", decode: func(d *decoder, n *yaml.Node) { s.DataCentres = decodeList(d, n, "datacentres", (*decoder).dataCentre) }},
		{name: "workspaces", decode: func(d *decoder, n *yaml.Node) { s.Workspaces = decodeList(d, n, "workspaces", (*decoder).workspace) }},
		{name: "services", decode: func(d *decoder, n *yaml.Node) { s.Services = decodeList(d, n, "services", (*decoder).service) }},
		{name: "routes", decode: func(d *decoder, n *yaml.Node) { s.Routes = decodeList(d, n, "routes", (*decoder).route) }},
	})
	d.reporter.section = ""
	return s
}

// sectionName returns the name of a section that is not decoded yet, for its
// problems.
func sectionName(n *yaml.Node) string {
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "name" {
			return truncate(n.Content[i+1].Value)
		}
	}
	return ""
}

func decodeList[T any](d *decoder, n *yaml.Node, what string, item func(*decoder, *yaml.Node) T) []T {
	var out []T
	d.sequence(n, what, func(c *yaml.Node) { out = append(out, item(d, c)) })
	return out
}

func (d *decoder) dataCentre(n *yaml.Node) DataCentre {
	v := DataCentre{pos: positionOf(n)}
	d.mapping(n, "datacentre", []field{
		{name: "name", required: true, decode: func(d *decoder, n *yaml.Node) { v.Name = d.text(n, "name") }},
		{name: "region", required: true, decode: func(d *decoder, n *yaml.Node) { v.Region = d.text(n, "region") }},
		{name: "state", decode: func(d *decoder, n *yaml.Node) { v.State = DataCentreState(d.text(n, "state")) }},
	})
	return v
}

func (d *decoder) workspace(n *yaml.Node) Workspace {
	v := Workspace{pos: positionOf(n)}
	d.mapping(n, "workspace", []field{
		{name: "name", required: true, decode: func(d *decoder, n *yaml.Node) { v.Name = d.text(n, "name") }},
		{name: "rate", required: true, decode: func(d *decoder, n *yaml.Node) { v.Rate = d.rate(n, "rate") }},
		{name: "burst", required: true, decode: func(d *decoder, n *yaml.Node) { v.Burst = d.integer(n, "burst", "20", 1, MaxBurst) }},
		{name: "weight", decode: func(d *decoder, n *yaml.Node) { v.Weight = d.integer(n, "weight", "1", 1, MaxWeight) }},
		{name: "keys", decode: func(d *decoder, n *yaml.Node) { v.Keys = decodeList(d, n, "keys", (*decoder).key) }},
	})
	return v
}

func (d *decoder) key(n *yaml.Node) Key {
	v := Key{pos: positionOf(n)}
	d.mapping(n, "key", []field{
		{name: "id", required: true, decode: func(d *decoder, n *yaml.Node) { v.ID = d.text(n, "id") }},
		{name: "sha256", required: true, decode: func(d *decoder, n *yaml.Node) { v.SHA256 = d.text(n, "sha256") }},
	})
	return v
}

func (d *decoder) service(n *yaml.Node) Service {
	v := Service{pos: positionOf(n)}
	d.mapping(n, "service", []field{
		{name: "name", required: true, decode: func(d *decoder, n *yaml.Node) { v.Name = d.text(n, "name") }},
		{name: "floor", decode: func(d *decoder, n *yaml.Node) { v.Floor = d.fraction(n, "floor") }},
		{name: "timeout", decode: func(d *decoder, n *yaml.Node) { v.Timeout = d.duration(n, "timeout") }},
		{name: "idle_timeout", decode: func(d *decoder, n *yaml.Node) { v.IdleTimeout = d.duration(n, "idle_timeout") }},
		{name: "max_body", decode: func(d *decoder, n *yaml.Node) { v.MaxBody = d.integer(n, "max_body", "1048576", 1, MaxBodyLimit) }},
		{name: "queue", decode: func(d *decoder, n *yaml.Node) { v.Queue = d.integer(n, "queue", "32", 1, MaxQueue) }},
		{name: "attempts", decode: func(d *decoder, n *yaml.Node) { v.Attempts = d.integer(n, "attempts", "3", 1, MaxAttempts) }},
		{name: "shed_not_run", decode: func(d *decoder, n *yaml.Node) { v.ShedNotRun = d.boolean(n, "shed_not_run") }},
		{name: "cold_limit", decode: func(d *decoder, n *yaml.Node) { v.ColdLimit = d.integer(n, "cold_limit", "1", 1, MaxColdLimit) }},
		{name: "cold_time", decode: func(d *decoder, n *yaml.Node) { v.ColdTime = d.duration(n, "cold_time") }},
	})
	return v
}

func (d *decoder) route(n *yaml.Node) Route {
	v := Route{pos: positionOf(n)}
	d.mapping(n, "route", []field{
		{name: "path", required: true, decode: func(d *decoder, n *yaml.Node) { v.Path = d.text(n, "path") }},
		{name: "service", required: true, decode: func(d *decoder, n *yaml.Node) { v.Service = d.text(n, "service") }},
		{name: "access", decode: func(d *decoder, n *yaml.Node) { v.Access = Access(d.text(n, "access")) }},
		{name: "workspaces", decode: func(d *decoder, n *yaml.Node) { v.Workspaces = d.nonEmptyTextList(n, "workspaces") }},
		{name: "idempotent", decode: func(d *decoder, n *yaml.Node) { v.Idempotent = d.nonEmptyTextList(n, "idempotent") }},
	})
	return v
}

// nonEmptyTextList decodes a list and rejects an empty one. An omitted list means
// the default, so an empty list would mean the opposite of what it says.
func (d *decoder) nonEmptyTextList(n *yaml.Node, what string) []string {
	out := d.textList(n, what)
	if len(out) == 0 && n.Kind == yaml.SequenceNode {
		d.report(positionOf(n), emptyListRemedy, "%s is an empty list", what)
	}
	return out
}

const emptyListRemedy = "omit the field for its default, or name at least one"
