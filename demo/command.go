package demo

import (
	"io"
	"time"

	"github.com/spf13/cobra"
)

// Command returns the command that runs a demo.
func Command() *cobra.Command {
	var duration time.Duration
	var logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet in this process, with faults, and judge it",
		Long: `Run three data centres of two daemons each, with stand-ins for targets, callers
and the platform, in this process and on loopback. A target breaks, a data centre
leaves and returns; every request and every run is recorded and judged.

The exit code is 0 only if no order was lost or doubled and no other promise was
broken.`,
		Example: "  gooseberryshed demo\n  gooseberryshed demo --duration 60s --logs",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o := Options{Duration: duration, Out: cmd.OutOrStdout(), Logs: io.Discard}
			if logs {
				o.Logs = cmd.ErrOrStderr()
			}
			v, err := Run(cmd.Context(), o)
			if err != nil {
				return err
			}
			if !v.OK() {
				return ErrBroken
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", DefaultDuration, "time of traffic; start and stop take some ten seconds more")
	cmd.Flags().BoolVar(&logs, "logs", false, "print the daemons' log lines on standard error")
	return cmd
}
