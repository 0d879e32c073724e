package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/access"
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
	byName     map[string][]*Route
	services   map[string]*Service
	listed     access.Workspaces
	workspaces map[string]*Workspace
	byKey      map[string]*Workspace
	routeCount int
	ranked     bool
	keyless    []string
}

// Key is an API key and the workspace to which it belongs.
type Key struct {
	Secret    string
	Workspace string
}

// Document holds the data from which a Config is built.
type Document struct {
	Revision uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Listed states whether there is a list of workspaces, which may be empty.
	// Unstated is Listed if there are Workspaces.
	Listed     access.Workspaces
	Workspaces []Workspace
	Keys       []Key
}

// New builds a Config. It fails if a route has an invalid prefix, names no
// service or one that does not exist, if a workspace has no name, if there are
// workspaces although the document has no list of them, and if a key names a
// workspace that does not exist.
func New(d Document) (*Config, error) {
	c := &Config{
		Revision:   d.Revision,
		Limits:     d.Limits,
		byHost:     map[string]map[string]*Route{},
		byName:     make(map[string][]*Route, len(d.Routes)),
		services:   make(map[string]*Service, len(d.Services)),
		workspaces: make(map[string]*Workspace, len(d.Workspaces)),
		byKey:      make(map[string]*Workspace, len(d.Keys)),
		routeCount: len(d.Routes),
		listed:     d.Listed,
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := c.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	if err := c.addWorkspaces(d.Workspaces); err != nil {
		return nil, err
	}
	for _, k := range d.Keys {
		w := c.workspaces[k.Workspace]
		if w == nil {
			return nil, errors.Errorf("a key names workspace %q, which does not exist", k.Workspace)
		}
		c.byKey[k.Secret] = w
	}
	c.ranked = hasRanks(d)
	c.keyless = c.keylessRoutes()
	return c, nil
}

func (c *Config) addWorkspaces(list []Workspace) error {
	if len(list) > 0 {
		switch c.listed {
		case access.None:
			return errors.Errorf("%d workspaces in a document that has no list of them", len(list))
		case access.Unstated:
			c.listed = access.Listed
		}
	}
	for i := range list {
		if list[i].Name == "" {
			return errors.Errorf("workspace %d of %d has no name", i+1, len(list))
		}
		c.workspaces[list[i].Name] = &list[i]
	}
	return nil
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
	c.byName[r.Name] = append(c.byName[r.Name], r)
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

// Access returns what the configuration states about the need for a key on a
// route.
func (c *Config) Access(r *Route) access.Rule {
	return access.Rule{Workspaces: c.listed, Open: r.AuthExempt}
}

// RouteByName returns the route with a name. It returns false if there is none, or
// several.
func (c *Config) RouteByName(name string) (*Route, bool) {
	list := c.byName[name]
	if len(list) != 1 {
		return nil, false
	}
	return list[0], true
}

// WorkspaceList states whether there is a list of workspaces.
func (c *Config) WorkspaceList() access.Workspaces { return c.listed }

// WorkspaceCount and KeyCount return the number of workspaces and that of their keys.
func (c *Config) WorkspaceCount() int { return len(c.workspaces) }
func (c *Config) KeyCount() int       { return len(c.byKey) }

// KeylessRoutes returns the names of the routes that need no key, sorted. The caller must
// not modify the slice.
func (c *Config) KeylessRoutes() []string { return c.keyless }

// OpenedSince returns the names of the routes that need no key and did not exist or
// needed one in a former configuration, which may be nil.
func (c *Config) OpenedSince(former *Config) []string {
	if former == nil {
		return c.keyless
	}
	var opened []string
	for _, name := range c.keyless {
		if _, was := slices.BinarySearch(former.keyless, name); !was {
			opened = append(opened, name)
		}
	}
	return opened
}

func (c *Config) keylessRoutes() []string {
	var names []string
	for name, list := range c.byName {
		if slices.ContainsFunc(list, func(r *Route) bool { return !c.Access(r).NeedsKey() }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Ranked reports whether some requests have precedence over others: routes or workspaces
// have different priorities.
func (c *Config) Ranked() bool { return c.ranked }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }
