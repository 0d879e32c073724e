package limiter

import "fmt"

// Kind classifies why no decision could be made.
type Kind int

const (
	// KindNoOwner means that no owner of the workspace's tokens answered.
	KindNoOwner Kind = iota + 1
	// KindUnknownWorkspace means that the configuration has no such workspace.
	KindUnknownWorkspace
	// KindNoConfig means that no configuration is in force yet.
	KindNoConfig
)

var kindText = map[Kind]string{
	KindNoOwner:          "no owner of the workspace's rate answered; try again shortly",
	KindUnknownWorkspace: "the workspace is not configured; check the document",
	KindNoConfig:         "no configuration is in force yet; try again shortly",
}

// Error says why Take could not decide. It never means that the rate was
// exceeded.
type Error struct {
	Kind      Kind
	Workspace string
	// Err is the last cause, if any.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("limit of workspace %q: %s", e.Workspace, kindText[e.Kind])
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
