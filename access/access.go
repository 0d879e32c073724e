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

// Sender is how a host of another revision admitted a request.
type Sender struct {
	// Older is set if the sender's configuration is older than the one that
	// checks the request again.
	Older bool
	// Workspace is that of the request's key; empty if no key was needed.
	Workspace string
}

// Admits reports whether a request that was admitted elsewhere may run. exists
// reports whether the configuration that checks it has a workspace. A sender
// whose configuration is as new or newer decides by itself.
func (r Rule) Admits(s Sender, exists func(workspace string) bool) bool {
	if !s.Older || !r.NeedsKey() {
		return true
	}
	return s.Workspace != "" && exists(s.Workspace)
}
