package config

import (
	"slices"
	"strings"
)

func (c *checker) checkRoute(r *Route) {
	if remedy := pathRemedy(r.Path); remedy != "" {
		c.report(r.pos, remedy, "path %q is not valid", truncate(r.Path))
	} else {
		c.checkUnique(c.routes, r.pos, "route", r.Path)
	}
	switch r.Access {
	case "", AccessKeyed:
	case AccessOpen:
		if len(r.Workspaces) > 0 {
			c.report(r.pos, "make it keyed or remove workspaces", "route %s is open and lists workspaces", r.Path)
		}
	default:
		c.report(r.pos, "write keyed or open", "access of route %s cannot be %q", r.Path, truncate(string(r.Access)))
	}
	c.checkNotEmpty(r, "workspaces", r.Workspaces)
	c.checkNotEmpty(r, "idempotent", r.Idempotent)
	c.checkMethods(r)
	c.checkDuplicates(r, "workspaces", r.Workspaces)
	c.checkDuplicates(r, "idempotent", r.Idempotent)
}

// pathRemedy returns how to correct an invalid path, or "" if the path is valid.
// Only one spelling of each path is accepted, so that routes cannot overlap
// unnoticed.
func pathRemedy(path string) string {
	switch {
	case !strings.HasPrefix(path, "/"):
		return "start it with /"
	case len(path) > MaxPathLen:
		return "shorten it"
	case path == "/":
		return ""
	case strings.HasSuffix(path, "/"):
		return "remove the trailing /; a prefix matches all paths below it"
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return "remove empty, . and .. segments"
		}
		if strings.ContainsFunc(segment, isInvalidPathRune) {
			return "use letters, digits and -._~!$&'()+,;=:@ only"
		}
	}
	return ""
}

func isInvalidPathRune(r rune) bool {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
		return false
	}
	return !strings.ContainsRune("-._~!$&'()+,;=:@", r)
}

// checkNotEmpty rejects a list without entries: it says the opposite of the default that
// an absent one stands for.
func (c *checker) checkNotEmpty(r *Route, what string, names Names) {
	if names != nil && len(names) == 0 {
		c.report(r.pos, emptyListRemedy, "%s of route %s is an empty list", what, r.Path)
	}
}

func (c *checker) checkMethods(r *Route) {
	for _, m := range r.Idempotent {
		if m == NoMethod && len(r.Idempotent) == 1 {
			return
		}
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			c.report(r.pos, "write methods in capitals, like GET, or the list [none]", "method %q of route %s is not valid", truncate(m), r.Path)
		}
	}
}

func (c *checker) checkDuplicates(r *Route, what string, names []string) {
	sorted := slices.Sorted(slices.Values(names))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			c.report(r.pos, "keep one of them", "%s of route %s has %q twice", what, r.Path, truncate(sorted[i]))
		}
	}
}

// checkReferences checks that routes refer to existing services and workspaces.
func checkReferences(sections []Section, problems *Problems) {
	services := map[string]bool{}
	workspaces := map[string]bool{}
	for i := range sections {
		for j := range sections[i].Services {
			services[sections[i].Services[j].Name] = true
		}
		for j := range sections[i].Workspaces {
			workspaces[sections[i].Workspaces[j].Name] = true
		}
	}
	for i := range sections {
		s := &sections[i]
		rep := reporter{file: s.source.file, section: s.Name, problems: problems}
		for j := range s.Routes {
			rep.checkRouteReferences(&s.Routes[j], services, workspaces)
		}
	}
}

func (r reporter) checkRouteReferences(route *Route, services, workspaces map[string]bool) {
	if !services[route.Service] {
		r.report(route.pos, "add the service to a section or correct the name", "route %s names the unknown service %q", route.Path, truncate(route.Service))
	}
	for _, w := range route.Workspaces {
		if !workspaces[w] {
			r.report(route.pos, "add the workspace to a section or correct the name", "route %s names the unknown workspace %q", route.Path, truncate(w))
		}
	}
}
