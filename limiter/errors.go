package limiter

import "fmt"

// Kind classifies why no decision could be made.
type Kind int

const (
	// KindNoOwner means that no owner of the workspace's tokens replied.
	KindNoOwner Kind = iota + 1
	// KindUnknownWorkspace means that the workspace is not configured.
	KindUnknownWorkspace
	// KindNoConfig means that no configuration is in force yet.
	KindNoConfig
)

var kindText = map[Kind]string{
	KindNoOwner:          "no owner of the workspace's rate limit replied; retry shortly",
	KindUnknownWorkspace: "the workspace is not configured; check the configuration document",
	KindNoConfig:         "no configuration is in force yet; retry shortly",
}

// Error reports why Take could not decide. It never means that the rate was
// exceeded.
type Error struct {
	Kind      Kind
	Workspace string
	// Err is the last underlying error, if any.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	s := fmt.Sprintf("rate limit of workspace %q: %s", e.Workspace, kindText[e.Kind])
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
