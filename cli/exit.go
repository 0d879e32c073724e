package cli

import (
	"context"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/platform"
)

// Exit codes, as the help lists them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitAlerting    = 5
)

// failure marks an error of a command that was used rightly.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

// usageError marks wrong usage that only the command itself could find.
type usageError struct{ error }

func (u usageError) Unwrap() error { return u.error }

// markFailures marks the errors of all commands, so that they can be told from
// the library's errors on usage.
func markFailures(cmd *cobra.Command) {
	if run := cmd.RunE; run != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if err := run(cmd, args); err != nil {
				return failure{err}
			}
			return nil
		}
	}
	for _, sub := range cmd.Commands() {
		markFailures(sub)
	}
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var marked failure
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &marked) || errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errAlerting):
		return exitAlerting
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
