package config

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// Validate checks sections as a whole document: every value, the uniqueness of
// names and references across sections. The error is of type Problems.
func Validate(sections []Section) error {
	problems := Problems{}
	checkNames(sections, &problems)
	checkReferences(sections, &problems)
	return problems.errorOrNil()
}

// checkNames checks each value and the uniqueness of names.
func checkNames(sections []Section, problems *Problems) {
	c := newChecker(problems)
	for i := range sections {
		c.checkSection(&sections[i])
	}
}

// checker collects the names seen so far, to detect duplicates.
type checker struct {
	reporter
	sections, dataCentres, workspaces, services uniqueNames
	routes, keyIDs, digests                     uniqueNames
}

// uniqueNames maps a name to the section that defines it.
type uniqueNames map[string]string

func newChecker(problems *Problems) *checker {
	return &checker{
		reporter:    reporter{problems: problems},
		sections:    uniqueNames{},
		dataCentres: uniqueNames{},
		workspaces:  uniqueNames{},
		services:    uniqueNames{},
		routes:      uniqueNames{},
		keyIDs:      uniqueNames{},
		digests:     uniqueNames{},
	}
}

func (c *checker) checkSection(s *Section) {
	c.file = s.source.file
	c.section = ""
	c.checkName(s.source.pos, "section", s.Name)
	c.checkUnique(c.sections, s.source.pos, "section", s.Name)
	c.section = s.Name
	if s.Team == "" || len(s.Team) > MaxTeamLen {
		c.report(s.source.pos, fmt.Sprintf("use a team name of 1 to %d bytes", MaxTeamLen), "the team name has %d bytes", len(s.Team))
	}
	for i := range s.DataCentres {
		c.checkDataCentre(&s.DataCentres[i])
	}
	for i := range s.Workspaces {
		c.checkWorkspace(&s.Workspaces[i])
	}
	for i := range s.Services {
		c.checkService(&s.Services[i])
	}
	for i := range s.Routes {
		c.checkRoute(&s.Routes[i])
	}
}

func (c *checker) checkName(pos position, what, name string) {
	if !isName(name) {
		c.report(pos, fmt.Sprintf("use 1 to %d lower-case letters, digits and inner dashes", MaxNameLen), "%s name %q is not valid", what, truncate(name))
	}
}

func isName(s string) bool {
	if s == "" || len(s) > MaxNameLen || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		ch := s[i]
		if (ch < 'a' || ch > 'z') && (ch < '0' || ch > '9') && ch != '-' {
			return false
		}
	}
	return true
}

func (c *checker) checkUnique(seen uniqueNames, pos position, what, name string) {
	if other, ok := seen[name]; ok {
		c.report(pos, "rename or remove one of them", "%s %q is already in section %q", what, truncate(name), other)
		return
	}
	seen[name] = c.section
}

func (c *checker) checkRange(pos position, what string, v, low, high int) {
	if v < low || v > high {
		c.report(pos, fmt.Sprintf("write a number from %d to %d", low, high), "%s cannot be %d", what, v)
	}
}

func (c *checker) checkDataCentre(d *DataCentre) {
	c.checkName(d.pos, "datacentre", d.Name)
	c.checkUnique(c.dataCentres, d.pos, "datacentre", d.Name)
	c.checkName(d.pos, "region", d.Region)
	if d.State != "" && d.State != DataCentreIn && d.State != DataCentreOut {
		c.report(d.pos, "write in or out", "state of datacentre %s cannot be %q", d.Name, truncate(string(d.State)))
	}
}

func (c *checker) checkWorkspace(w *Workspace) {
	c.checkName(w.pos, "workspace", w.Name)
	c.checkUnique(c.workspaces, w.pos, "workspace", w.Name)
	if !(w.Rate > 0 && w.Rate <= MaxRate) {
		c.report(w.pos, "write a rate above 0/s and at most "+MaxRate.String(), "rate of workspace %s cannot be %s", w.Name, w.Rate)
	}
	c.checkRange(w.pos, "burst", w.Burst, 1, MaxBurst)
	c.checkRange(w.pos, "weight", orDefault(w.Weight, DefaultWeight), 1, MaxWeight)
	if len(w.Keys) > MaxKeysPerWorkspace {
		c.report(w.pos, fmt.Sprintf("withdraw keys until at most %d are left", MaxKeysPerWorkspace), "workspace %s has %d keys", w.Name, len(w.Keys))
	}
	for i := range w.Keys {
		c.checkKey(&w.Keys[i])
	}
}

func (c *checker) checkKey(k *Key) {
	c.checkName(k.pos, "key", k.ID)
	c.checkUnique(c.keyIDs, k.pos, "key", k.ID)
	digest, err := hex.DecodeString(k.SHA256)
	if err != nil || len(digest) != digestBytes {
		c.report(k.pos, "write the 64 hexadecimal digits of the secret's SHA-256, as gooseberryshed key grant does", "sha256 of key %s is not a digest", truncate(k.ID))
		return
	}
	c.checkUnique(c.digests, k.pos, "key digest", strings.ToLower(k.SHA256))
}

func (c *checker) checkService(s *Service) {
	c.checkName(s.pos, "service", s.Name)
	c.checkUnique(c.services, s.pos, "service", s.Name)
	v := s.withDefaults()
	if !(v.Floor > 0 && v.Floor <= 1) {
		c.report(s.pos, "write a number above 0 and at most 1", "floor of service %s cannot be %g", s.Name, v.Floor)
	}
	c.checkTimeout(s.pos, "timeout", v.Timeout)
	c.checkTimeout(s.pos, "idle_timeout", v.IdleTimeout)
	c.checkRange(s.pos, "max_body", v.MaxBody, 1, MaxBodyLimit)
	c.checkRange(s.pos, "queue", v.Queue, 1, MaxQueue)
	c.checkRange(s.pos, "attempts", v.Attempts, 1, MaxAttempts)
	c.checkRange(s.pos, "cold_limit", v.ColdLimit, 1, MaxColdLimit)
	c.checkTimeout(s.pos, "cold_time", v.ColdTime)
}

func (c *checker) checkTimeout(pos position, what string, d Duration) {
	if d < MinTimeout || d > MaxTimeout {
		c.report(pos, "write a time from "+MinTimeout.String()+" to "+MaxTimeout.String(), "%s cannot be %s", what, d)
	}
}
