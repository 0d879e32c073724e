// Package config holds the operators' document: its sections, their strict
// parsing and validation, and the immutable Snapshot that the fleet serves by.
//
// Each section belongs to one team and is versioned on its own. A snapshot is
// always built from all sections at one revision, validated as a whole and
// swapped whole.
package config

import "time"

// Document is the whole configuration: the sections of all teams.
type Document struct {
	Sections []Section `yaml:"sections"`
}

// Section is the part of the document that one team owns.
type Section struct {
	// Name is unique in the document: lower-case letters, digits and dashes.
	Name string `yaml:"name"`
	// Team names the owner. It is shown in diffs, logs and errors.
	Team        string       `yaml:"team"`
	DataCentres []DataCentre `yaml:"datacentres,omitempty"`
	Workspaces  []Workspace  `yaml:"workspaces,omitempty"`
	Services    []Service    `yaml:"services,omitempty"`
	Routes      []Route      `yaml:"routes,omitempty"`
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
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	// State defaults to "in".
	State DataCentreState `yaml:"state,omitempty"`
}

// Workspace is one customer of the firm, with its rate and keys.
type Workspace struct {
	Name string `yaml:"name"`
	// Rate is the sustained rate over the whole fleet, requests per second.
	// It is written with its unit: "50/s", "30/m".
	Rate Rate `yaml:"rate"`
	// Burst is how many requests may exceed the rate at once.
	Burst int `yaml:"burst"`
	// Weight is the share in the queues of targets. It defaults to 1.
	Weight int   `yaml:"weight,omitempty"`
	Keys   []Key `yaml:"keys,omitempty"`
}

// Key is a credential of a workspace. The document holds only its digest.
type Key struct {
	// ID names the key in logs and commands; it is not secret.
	ID string `yaml:"id"`
	// SHA256 is the hexadecimal SHA-256 digest of the secret.
	SHA256 string `yaml:"sha256"`
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string `yaml:"name"`
	// Floor is the fraction of announced capacity, in (0, 1], that ejection
	// must leave in use. It defaults to 0.5.
	Floor float64 `yaml:"floor,omitempty"`
	// Timeout bounds a whole request, retries included. It defaults to 10s.
	Timeout Duration `yaml:"timeout,omitempty"`
	// IdleTimeout bounds the silence between two parts of a streamed answer.
	// It defaults to 5s.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty"`
	// MaxBody bounds a request body in bytes. It defaults to 1 MiB.
	MaxBody int `yaml:"max_body,omitempty"`
	// Queue bounds the requests waiting at one target. It defaults to 32.
	Queue int `yaml:"queue,omitempty"`
	// Attempts bounds the tries for one request. It defaults to 3.
	Attempts int `yaml:"attempts,omitempty"`
	// ShedNotRun declares that a target's own 503 means "not run".
	ShedNotRun bool `yaml:"shed_not_run,omitempty"`
	// ColdLimit is how many requests a cold target bears at once. It
	// defaults to 1.
	ColdLimit int `yaml:"cold_limit,omitempty"`
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
	Path string `yaml:"path"`
	// Service names the service.
	Service string `yaml:"service"`
	// Access defaults to "keyed".
	Access Access `yaml:"access,omitempty"`
	// Workspaces limits a keyed route to some workspaces; empty admits all.
	Workspaces []string `yaml:"workspaces,omitempty"`
	// Idempotent lists methods that may be repeated on this route. It
	// defaults to GET, HEAD, OPTIONS.
	Idempotent []string `yaml:"idempotent,omitempty"`
}

// Duration is a time span written with its unit, for example "5s".
type Duration time.Duration

// Rate is a number of requests per second.
type Rate float64
