// Package config holds the operators' document: its sections, their strict
// parsing and validation, and the immutable Snapshot that the fleet serves by.
//
// Each section belongs to one team and is versioned on its own. A snapshot is
// always built from all sections at one revision, validated as a whole and
// swapped whole.
//
// The text form is YAML, read by Parse into nodes that keep their positions, so
// that every problem is reported with file, line and column. Anchors, aliases,
// tags and unknown fields are refused. Between daemons and in the table
// sections travel as JSON, which decodes several times faster. Fields that the
// document omits stay zero in a Section; Build fills in the defaults.
package config

// Document is the whole configuration: the sections of all teams.
type Document struct {
	// Base is the revision that the file was edited from. Sections that have
	// changed since are not overwritten.
	Base     uint64    `yaml:"base,omitempty" json:"base,omitempty"`
	Sections []Section `yaml:"sections" json:"sections"`
}

// Section is the part of the document that one team owns.
type Section struct {
	// Name is unique in the document: lower-case letters, digits and dashes.
	Name string `yaml:"name" json:"name"`
	// Team names the owner. It is shown in diffs, logs and errors.
	Team        string       `yaml:"team" json:"team"`
	DataCentres []DataCentre `yaml:"datacentres,omitempty" json:"datacentres,omitempty"`
	Workspaces  []Workspace  `yaml:"workspaces,omitempty" json:"workspaces,omitempty"`
	Services    []Service    `yaml:"services,omitempty" json:"services,omitempty"`
	Routes      []Route      `yaml:"routes,omitempty" json:"routes,omitempty"`

	at source
}

// DataCentreState says whether a data centre takes new work.
type DataCentreState string

const (
	// DataCentreIn takes new work.
	DataCentreIn DataCentreState = "in"
	// DataCentreOut takes no new work; what runs there is finished.
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a place with its own hosts.
type DataCentre struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// State defaults to "in".
	State DataCentreState `yaml:"state,omitempty" json:"state,omitempty"`

	pos position
}

// Workspace is one customer of the firm, with its rate and keys.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Rate is the sustained rate over the whole fleet, requests per second.
	// It is written with its unit: "50/s", "30/m".
	Rate Rate `yaml:"rate" json:"rate"`
	// Burst is how many requests may exceed the rate at once.
	Burst int `yaml:"burst" json:"burst"`
	// Weight is the share in the queues of targets. It defaults to 1.
	Weight int   `yaml:"weight,omitempty" json:"weight,omitempty"`
	Keys   []Key `yaml:"keys,omitempty" json:"keys,omitempty"`

	pos position
}

// Key is a credential of a workspace. The document holds only its digest.
type Key struct {
	// ID names the key in logs and commands; it is not secret.
	ID string `yaml:"id" json:"id"`
	// SHA256 is the hexadecimal SHA-256 digest of the secret.
	SHA256 string `yaml:"sha256" json:"sha256"`

	pos position
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Floor is the fraction of announced capacity, in (0, 1], that ejection
	// must leave in use. It defaults to 0.5.
	Floor float64 `yaml:"floor,omitempty" json:"floor,omitempty"`
	// Timeout bounds a whole request, retries included. It defaults to 10s.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// IdleTimeout bounds the silence between two parts of a streamed answer.
	// It defaults to 5s.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty" json:"idle_timeout,omitempty"`
	// MaxBody bounds a request body in bytes. It defaults to 1 MiB.
	MaxBody int `yaml:"max_body,omitempty" json:"max_body,omitempty"`
	// Queue bounds the requests waiting at one target. It defaults to 32.
	Queue int `yaml:"queue,omitempty" json:"queue,omitempty"`
	// Attempts bounds the tries for one request. It defaults to 3.
	Attempts int `yaml:"attempts,omitempty" json:"attempts,omitempty"`
	// ShedNotRun declares that a target's own 503 means "not run".
	ShedNotRun bool `yaml:"shed_not_run,omitempty" json:"shed_not_run,omitempty"`
	// ColdLimit is how many requests a cold target bears at once. It
	// defaults to 1.
	ColdLimit int `yaml:"cold_limit,omitempty" json:"cold_limit,omitempty"`
	// ColdTime is how long a target stays cold at least after its start, or
	// after it turned cold without warning. It defaults to 5s.
	ColdTime Duration `yaml:"cold_time,omitempty" json:"cold_time,omitempty"`

	pos position
}

// Access says who may use a route.
type Access string

const (
	// AccessKeyed demands a key of a workspace.
	AccessKeyed Access = "keyed"
	// AccessOpen is open to all callers.
	AccessOpen Access = "open"
)

// Route maps a path prefix to a service.
type Route struct {
	// Path is a prefix that starts with "/"; it matches whole path segments.
	// The longest prefix wins.
	Path string `yaml:"path" json:"path"`
	// Service names the service.
	Service string `yaml:"service" json:"service"`
	// Access defaults to "keyed".
	Access Access `yaml:"access,omitempty" json:"access,omitempty"`
	// Workspaces limits a keyed route to some workspaces; empty admits all.
	Workspaces []string `yaml:"workspaces,omitempty" json:"workspaces,omitempty"`
	// Idempotent lists methods that may be repeated on this route. It
	// defaults to GET, HEAD, OPTIONS. The list [none] allows no method.
	Idempotent []string `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`

	pos position
	// admitted indexes Workspaces in routes of a snapshot.
	admitted map[string]struct{}
}
