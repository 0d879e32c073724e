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

// defaultTimeout bounds a command's work with the platform.
const defaultTimeout = 30 * time.Second

const envPrefix = "GOOSEBERRYSHED_"

const rootLong = `Operate a gooseberryshed fleet by editing its document.

Each flag can also be set in the environment: --platform as GOOSEBERRYSHED_PLATFORM.

Exit codes:
  0  done
  1  failed; the message says what to do
  2  wrong usage
  3  conflict with another change; nothing was applied
  4  the platform is unavailable or did not reply; see the message
  5  report burn: a route or workspace is over a threshold`

// globals are the flags of all commands.
type globals struct {
	platform string
	timeout  time.Duration
}

// New returns the root command with the given commands added.
func New(extra ...*cobra.Command) *cobra.Command {
	g := &globals{}
	root := group(&cobra.Command{
		Use:               "gooseberryshed",
		Short:             "Operate a gooseberryshed fleet",
		Long:              rootLong,
		Example:           "  gooseberryshed config apply team-orders.yaml --wait\n  gooseberryshed datacentre out alfold-1",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return flagsFromEnvironment(cmd.Flags()) },
	})
	root.PersistentFlags().StringVar(&g.platform, "platform", "", "URL of the platform, like http://10.0.0.9:7070")
	root.PersistentFlags().DurationVar(&g.timeout, "timeout", defaultTimeout, "bound on the work with the platform")
	root.AddCommand(configCommand(g), keyCommand(g), dataCentreCommand(g), statusCommand(g), reportCommand(g), explainCommand())
	root.AddCommand(extra...)
	markFailures(root)
	return root
}

// group completes a command that only holds others: alone it prints its help, and
// an unknown name is wrong usage.
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

// flagsFromEnvironment sets the flags that the command line left out.
func flagsFromEnvironment(flags *pflag.FlagSet) error {
	var failed error
	flags.VisitAll(func(f *pflag.Flag) {
		name := envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || f.Changed || failed != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			failed = errors.Wrapf(err, "environment variable %s", name)
		}
	})
	return failed
}

// Execute runs the command line and returns the exit code.
func Execute(root *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(root.ErrOrStderr(), "Error:", err)
	}
	return ExitCode(err)
}

// context bounds the work of a command.
func (g *globals) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), g.timeout)
}

// store opens the configuration store.
func (g *globals) store() (*configstore.Store, error) {
	if g.platform == "" {
		return nil, usageError{errors.New("no platform; pass --platform URL or set " + envPrefix + "PLATFORM")}
	}
	client, err := karpithaz.OpenTable(karpithaz.TableOptions{URL: g.platform})
	if err != nil {
		return nil, usageError{err}
	}
	return configstore.New(client, client.Objects()), nil
}
