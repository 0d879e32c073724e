package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// defaultTimeout limits the time that a command spends on platform calls.
const defaultTimeout = 30 * time.Second

const envPrefix = "GOOSEBERRYSHED_"

const rootLong = `Operate a gooseberryshed fleet by editing its configuration document.

Each flag can also be set by an environment variable: --platform by GOOSEBERRYSHED_PLATFORM.

Exit codes:
  0  success
  1  failure; the error message says how to proceed
  2  usage error
  3  conflict with another change; nothing was applied
  4  the platform is unavailable or did not respond; see the error message
  5  report burn: a route or workspace exceeds a burn-rate threshold`

// globalFlags are the flags shared by all commands.
type globalFlags struct {
	platform string
	timeout  time.Duration
}

// New returns the root command, including the given additional commands.
func New(extra ...*cobra.Command) *cobra.Command {
	g := &globalFlags{}
	root := group(&cobra.Command{
		Use:               "gooseberryshed",
		Short:             "Operate a gooseberryshed fleet",
		Long:              rootLong,
		Example:           "  gooseberryshed config apply team-orders.yaml --wait\n  gooseberryshed datacentre out alfold-1",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return flagsFromEnvironment(cmd.Flags()) },
	})
	root.PersistentFlags().StringVar(&g.platform, "platform", "", "URL of the platform, for example http://10.0.0.9:7070")
	root.PersistentFlags().DurationVar(&g.timeout, "timeout", defaultTimeout, "maximum time for platform calls")
	root.AddCommand(configCommand(g), keyCommand(g), dataCentreCommand(g), statusCommand(g), reportCommand(g), explainCommand())
	root.AddCommand(extra...)
	wrapRunErrors(root)
	return root
}

// group sets up a command that only contains subcommands: without arguments it
// prints its help, and an unknown subcommand is a usage error.
func group(cmd *cobra.Command) *cobra.Command {
	cmd.Args = cobra.ArbitraryArgs
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return cmd.Help()
		}
		return usageError{errors.Errorf("unknown command %q for %q; see %s --help", args[0], cmd.CommandPath(), cmd.CommandPath())}
	}
	return cmd
}

// flagsFromEnvironment sets flags that are not on the command line from environment
// variables.
func flagsFromEnvironment(flags *pflag.FlagSet) error {
	var firstErr error
	flags.VisitAll(func(f *pflag.Flag) {
		name := envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || f.Changed || firstErr != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			firstErr = errors.Wrapf(err, "environment variable %s", name)
		}
	})
	return firstErr
}

// Execute runs the root command and returns the exit code.
func Execute(root *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(root.ErrOrStderr(), "Error:", err)
	}
	return ExitCode(err)
}

// context returns the command's context with the --timeout deadline.
func (g *globalFlags) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), g.timeout)
}

// store opens the configuration store.
func (g *globalFlags) store() (*configstore.Store, error) {
	if g.platform == "" {
		return nil, usageError{errors.New("no platform configured; pass --platform URL or set " + envPrefix + "PLATFORM")}
	}
	client, err := karpithaz.OpenTable(karpithaz.TableOptions{URL: g.platform})
	if err != nil {
		return nil, usageError{err}
	}
	return configstore.New(client, client.Objects()), nil
}
