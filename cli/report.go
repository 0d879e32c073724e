package cli

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/admin"
	"github.com/gooseberryshed/gooseberryshed/report"
)

// defaultObjective is the share of requests to be served.
const defaultObjective = 0.999

// errAlerting is the error of a report with an alert.
var errAlerting = errors.New("a route or workspace spends its allowance too fast; see the rows with an alert")

func reportCommand(g *globals) *cobra.Command {
	cmd := group(&cobra.Command{
		Use:     "report",
		Short:   "Report on the service level",
		Example: "  gooseberryshed report burn --admin 10.0.0.1:8084",
	})
	cmd.AddCommand(burnCommand(g))
	return cmd
}

// burnFlags are the flags of report burn.
type burnFlags struct {
	admins    []string
	objective float64
	json      bool
}

func burnCommand(g *globals) *cobra.Command {
	var flags burnFlags
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Show how fast routes and workspaces spend what the objective allows",
		Long: `Sum the outcomes that all daemons counted over six hours and compute burn rates:
the share of bad outcomes divided by the share that the objective allows. A burn
of 1 spends the allowance exactly.

An alert is "fast" when the burn is at least 14.4 over 5 min and over 1 h, and
"slow" when it is at least 6 over 30 min and over 6 h. With any alert the exit
code is 5. Daemons that give no answer are named; the figures lack their share.

WRONGFUL counts refusals for exceeding the rate although the workspace's load was
within it. They need the limits of the document; without the platform they are
left out, with a note.`,
		Example: "  gooseberryshed report burn --admin 10.0.0.1:8084\n" +
			"  gooseberryshed report burn --admin 10.0.0.1:8084 --objective 0.9995 --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			return g.burn(cmd, flags)
		},
	}
	addAdminFlag(cmd, &flags.admins)
	cmd.Flags().Float64Var(&flags.objective, "objective", defaultObjective, "share of requests to be served, above 0 and below 1")
	cmd.Flags().BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

func (f burnFlags) check() error {
	if len(f.admins) == 0 {
		return errNoAdmin
	}
	if !(f.objective > 0 && f.objective < 1) {
		return usageError{errors.Errorf("--objective cannot be %g; use a share above 0 and below 1, like %g", f.objective, defaultObjective)}
	}
	return nil
}

func (g *globals) burn(cmd *cobra.Command, flags burnFlags) error {
	o := report.Options{Objective: flags.objective, Limits: g.limits(cmd)}
	rep, err := admin.New().BurnReport(cmd.Context(), flags.admins, o)
	if err != nil {
		return err
	}
	if flags.json {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		err = enc.Encode(rep)
	} else {
		err = rep.WriteText(cmd.OutOrStdout())
	}
	if err != nil {
		return errors.Wrap(err, "print the report")
	}
	if rep.Alerting() {
		return errAlerting
	}
	return nil
}

// limits reads the rates of the document. A report is wanted most when the
// platform is out, so it goes on without them.
func (g *globals) limits(cmd *cobra.Command) []report.Limit {
	st, err := g.load(cmd)
	if err != nil {
		fmt.Fprintf(cmd.ErrOrStderr(), "wrongful refusals are left out, as the document cannot be read: %v\n", err)
		return nil
	}
	return admin.Limits(st)
}
