package routes

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of a route. It determines whether requests may be retried.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once for each attempt of a caller.
	NonIdempotent
	// Download requests are idempotent and have large responses.
	Download
	// Upload requests have large bodies and may run at most once, like those of
	// NonIdempotent routes.
	Upload
)

// Repeatable reports whether a request of this kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the other parts' weights.
	Weight int
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Services are the services and their weights; there is at least one.
	Services []WeightedService
	// MaxAttempts bounds the number of targets to which a request may be sent.
	MaxAttempts int
	// AuthExempt is set if requests need no key.
	AuthExempt bool
	// Regions limits where requests may run; empty is anywhere.
	Regions []string
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts; 0 if unknown.
	MaxConns int
	// ColdTime is the time for which a target stays cold after a start.
	ColdTime time.Duration
	// ColdRate is the maximum request rate of a cold target; 0 means no
	// bound.
	ColdRate float64
}

// Workspace is a group of callers that share keys and a rate limit.
type Workspace struct {
	Name string
	// Priority overrides the route's priority; nil keeps it.
	Priority *int
	// Rate is the rate limit in requests per second; 0 means unlimited.
	Rate float64
	// Burst is the size of the token bucket, in requests.
	Burst float64
	// Regions limits where requests may run; empty is anywhere.
	Regions []string
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one revision of the configuration.
type Config struct {
	Revision uint64
	Limits   Limits

	byHost     map[string]map[string]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	byKey      map[string]*Workspace
	routeCount int
	ranked     bool
}

// Key is an API key and the workspace to which it belongs.
type Key struct {
	Secret    string
	Workspace string
}

// Document holds the data from which a Config is built.
type Document struct {
	Revision   uint64
	Limits     Limits
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keys       []Key
}

// New builds a Config. It fails if a route has an invalid prefix, names no
// service or one that does not exist, and if a key names a workspace that does
// not exist.
func New(d Document) (*Config, error) {
	c := &Config{
		Revision:   d.Revision,
		Limits:     d.Limits,
		byHost:     map[string]map[string]*Route{},
		services:   make(map[string]*Service, len(d.Services)),
		workspaces: make(map[string]*Workspace, len(d.Workspaces)),
		byKey:      make(map[string]*Workspace, len(d.Keys)),
		routeCount: len(d.Routes),
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := c.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range d.Workspaces {
		c.workspaces[d.Workspaces[i].Name] = &d.Workspaces[i]
	}
	for _, k := range d.Keys {
		w := c.workspaces[k.Workspace]
		if w == nil {
			return nil, errors.Errorf("a key names workspace %q, which does not exist", k.Workspace)
		}
		c.byKey[k.Secret] = w
	}
	c.ranked = hasRanks(d)
	return c, nil
}

func hasRanks(d Document) bool {
	seen := map[int]bool{}
	for i := range d.Routes {
		seen[d.Routes[i].Priority] = true
	}
	for i := range d.Workspaces {
		if p := d.Workspaces[i].Priority; p != nil {
			seen[*p] = true
		}
	}
	return len(seen) > 1
}

func (c *Config) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Services) == 0 {
		return errors.Errorf("route %q names no service", r.Name)
	}
	for _, p := range r.Services {
		if c.services[p.Service] == nil {
			return errors.Errorf("route %q names service %q, which does not exist", r.Name, p.Service)
		}
	}
	prefixes := c.byHost[r.Host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		c.byHost[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	return nil
}

// Match returns the route of the host with the longest prefix of the path. A
// port in host is ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	prefixes := c.byHost[canonicalHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0 && prefixes != nil; {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, true
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return nil, false
}

func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// WorkspaceByKey returns the workspace to which a key belongs.
func (c *Config) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

func (c *Config) Workspace(name string) (*Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// HasWorkspaces reports whether there are workspaces. If there are none,
// requests need no keys.
func (c *Config) HasWorkspaces() bool { return len(c.workspaces) > 0 }

// Ranked reports whether some requests have precedence over others: routes or workspaces
// have different priorities.
func (c *Config) Ranked() bool { return c.ranked }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }
