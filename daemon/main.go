package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/settings"
)

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks an invalid command line.
var errUsage = errors.New("see --help")

// Main runs the daemon command, or the given additional commands as its
// subcommands, and returns the exit code.
func Main(others ...*cobra.Command) int {
	cmd := Command()
	cmd.AddCommand(others...)
	err := cmd.Execute()
	var se *settings.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &se), errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "gooseberryshedd:", err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "gooseberryshedd:", err)
		return exitFailed
	}
}

// Command returns the daemon's command line.
func Command() *cobra.Command {
	set := &settings.Settings{}
	cmd := &cobra.Command{
		Use:   "gooseberryshedd",
		Short: "Proxy daemon for the targets of one host",
		Long: `Runs beside the targets of one host: accepts callers' requests, forwards them
to targets on any host, and is the only way to reach the targets of its own host.

Each flag can also be set by the environment variable GOOSEBERRYSHED_<FLAG>, in
upper case with underscores; the command line takes precedence. SIGTERM and
SIGINT start a graceful shutdown that interrupts no request.

Exit codes: 0 graceful shutdown, 1 failure, 2 invalid settings.`,
		Example: `  GOOSEBERRYSHED_CLUSTER_SECRET=change-me-change-me gooseberryshedd \
    --host h1 --datacentre alfold-1 --platform http://10.0.0.2:7000`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.FromEnvironment(cmd.Flags()); err != nil {
				return err
			}
			if err := set.Validate(); err != nil {
				return err
			}
			return runProcess(cmd.Context(), *set)
		},
	}
	set.Bind(cmd.Flags())
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.WithMessage(errUsage, err.Error())
	})
	return cmd
}

// runProcess runs a daemon until SIGTERM or SIGINT.
func runProcess(ctx context.Context, set settings.Settings) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(set)
	invalid := NewInvalidAnswers(logger)
	client, err := karpithaz.OpenTable(karpithaz.TableOptions{URL: set.Platform, LocalIP: sourceIP(set), OnInvalid: invalid.Store})
	if err != nil {
		return err
	}
	defer client.Close()
	d, err := New(Options{
		Settings: set,
		Table:    client,
		Objects:  client.Objects(),
		Logger:   logger,
		Invalid:  invalid,
	})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// sourceIP returns the source address of outgoing connections, or an empty string
// to let the system choose.
func sourceIP(set settings.Settings) string {
	if ip := set.Source(); ip != nil {
		return ip.String()
	}
	return ""
}

func newLogger(set settings.Settings) *log.Logger {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level:           level,
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
	}).With("host", set.Host)
}
