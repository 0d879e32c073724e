package demo

import (
	"io"
	"time"

	"github.com/spf13/cobra"
)

// Command returns the command that runs the demo.
func Command() *cobra.Command {
	var duration time.Duration
	var logs bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete fleet in this process, inject faults and check the results",
		Long: `Run three data centres with two daemons each, with stand-ins for the targets, the
callers and the platform, in this process on the loopback interface. One target
returns errors for a while, and a data centre is taken out of service and returned.
Every request and every execution at a target is recorded and checked.

The exit code is 0 only if no order was lost or duplicated and no other invariant
was violated.`,
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
				return ErrInvariantViolated
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&duration, "duration", DefaultDuration, "duration of the traffic; start and stop take about ten seconds more")
	cmd.Flags().BoolVar(&logs, "logs", false, "print the log lines of the daemons to standard error")
	return cmd
}
