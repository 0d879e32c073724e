package config

import "time"

// Defaults of fields that the document omits.
const (
	DefaultWeight      = 1
	DefaultFloor       = 0.5
	DefaultTimeout     = Duration(10 * time.Second)
	DefaultIdleTimeout = Duration(5 * time.Second)
	// DefaultMaxBody is in bytes.
	DefaultMaxBody   = 1 << 20
	DefaultQueue     = 32
	DefaultAttempts  = 3
	DefaultColdLimit = 1
	DefaultColdTime  = Duration(5 * time.Second)
)

// Limits of fields.
const (
	// MaxRate is in requests per second.
	MaxRate             = Rate(1_000_000)
	MaxBurst            = 10_000_000
	MaxWeight           = 1000
	MaxTimeout          = Duration(time.Hour)
	MinTimeout          = Duration(time.Millisecond)
	MaxQueue            = 100_000
	MaxAttempts         = 10
	MaxColdLimit        = 10_000
	MaxNameLen          = 63
	MaxTeamLen          = 100
	MaxPathLen          = 1024
	MaxKeysPerWorkspace = 100
	// MaxBodyLimit is the maximum of max_body in bytes.
	MaxBodyLimit = 16 << 20
)

// NoMethod, as the only entry of Route.Idempotent, means that no method may be
// retried.
const NoMethod = "none"

var defaultIdempotent = []string{"GET", "HEAD", "OPTIONS"}

// orDefault returns v, or def when v is zero.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (d DataCentre) withDefaults() DataCentre {
	d.State = orDefault(d.State, DataCentreIn)
	return d
}

func (w Workspace) withDefaults() Workspace {
	w.Weight = orDefault(w.Weight, DefaultWeight)
	return w
}

func (s Service) withDefaults() Service {
	s.Floor = orDefault(s.Floor, DefaultFloor)
	s.Timeout = orDefault(s.Timeout, DefaultTimeout)
	s.IdleTimeout = orDefault(s.IdleTimeout, DefaultIdleTimeout)
	s.MaxBody = orDefault(s.MaxBody, DefaultMaxBody)
	s.Queue = orDefault(s.Queue, DefaultQueue)
	s.Attempts = orDefault(s.Attempts, DefaultAttempts)
	s.ColdLimit = orDefault(s.ColdLimit, DefaultColdLimit)
	s.ColdTime = orDefault(s.ColdTime, DefaultColdTime)
	return s
}

func (r Route) withDefaults() Route {
	r.Access = orDefault(r.Access, AccessKeyed)
	if r.Idempotent == nil {
		r.Idempotent = defaultIdempotent
	}
	if len(r.Workspaces) > maxLinearSearch {
		r.workspaceSet = make(map[string]struct{}, len(r.Workspaces))
		for _, name := range r.Workspaces {
			r.workspaceSet[name] = struct{}{}
		}
	}
	return r
}
