package access

// Workspaces is what a configuration states about its list of workspaces.
type Workspaces int

const (
	// Unstated means that the configuration does not tell. It is the zero value
	// and opens nothing.
	Unstated Workspaces = iota
	// None means that the configuration has no list: requests need no keys.
	None
	// Listed means that the configuration has a list, which may be empty.
	Listed
)

func (w Workspaces) String() string {
	switch w {
	case None:
		return "none"
	case Listed:
		return "listed"
	}
	return "unstated"
}

// Rule is what a configuration states about one route.
type Rule struct {
	Workspaces Workspaces
	// Open is set if the route itself admits requests without a key.
	Open bool
}

// NeedsKey reports whether requests on the route need the key of a workspace.
func (r Rule) NeedsKey() bool { return !r.Open && r.Workspaces != None }

// Reason returns why the route needs no key, or "" if it needs one.
func (r Rule) Reason() string {
	switch {
	case r.Open:
		return "the route is open"
	case r.Workspaces == None:
		return "the configuration has no workspaces"
	}
	return ""
}
