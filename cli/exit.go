package cli

import (
	"context"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Exit codes, as documented in the help of the root command.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitAlert       = 5
)

// runError wraps an error returned by a command's RunE. Errors without this wrapper
// come from argument and flag parsing and are usage errors.
type runError struct{ error }

func (f runError) Unwrap() error { return f.error }

// usageError wraps a usage error that was detected by the command itself.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// wrapRunErrors wraps the errors of all commands in runError, to distinguish them
// from cobra's usage errors.
func wrapRunErrors(cmd *cobra.Command) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if err := run(cmd, args); err != nil {
				return runError{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		wrapRunErrors(sub)
	}
}

// ExitCode returns the exit code for an error returned by a command.
func ExitCode(err error) int {
	var runErr runError
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &runErr) || errors.As(err, &usageErr):
		return exitUsage
	case errors.Is(err, errAlert):
		return exitAlert
	case isConflict(err):
		return exitConflict
	case isUnavailable(err):
		return exitUnavailable
	}
	return exitFailed
}

func isConflict(err error) bool {
	var conflict *configstore.ConflictError
	var busy *configstore.ContentionError
	return errors.As(err, &conflict) || errors.As(err, &busy)
}

func isUnavailable(err error) bool {
	var uncertain *configstore.UncertainError
	return errors.As(err, &uncertain) ||
		errors.Is(err, context.DeadlineExceeded) ||
		platform.IsKind(err, platform.KindUnavailable) ||
		platform.IsKind(err, platform.KindUncertain)
}
