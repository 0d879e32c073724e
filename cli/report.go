package cli

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/admin"
	"github.com/gooseberryshed/gooseberryshed/report"
)

// defaultObjective is the default availability objective, as a fraction of requests.
const defaultObjective = 0.999

// errAlert is returned if any row of the report has an alert.
var errAlert = errors.New("a route or workspace consumes its error budget too fast; see the rows with an alert")

func reportCommand(g *globalFlags) *cobra.Command {
	cmd := group(&cobra.Command{
		Use:     "report",
		Short:   "Report on service levels",
		Example: "  gooseberryshed report burn --admin 10.0.0.1:8084",
	})
	cmd.AddCommand(burnCommand(g))
	return cmd
}

// burnFlags are the flags of the command report burn.
type burnFlags struct {
	admins    []string
	objective float64
	json      bool
}

func burnCommand(g *globalFlags) *cobra.Command {
	var flags burnFlags
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Show the error-budget burn rates of routes and workspaces",
		Long: `Sum the request outcomes that all daemons counted over the last six hours and
compute burn rates: the fraction of bad outcomes divided by the fraction that the
objective allows. A burn rate of 1 consumes the error budget exactly.

An alert is "fast" if the burn rate is at least 14.4 over both 5 min and 1 h, and
"slow" if it is at least 6 over both 30 min and 6 h. If there is any alert, the
exit code is 5. Daemons that do not respond are listed; their counts are missing
from the report.

WRONGFUL counts rate-limit refusals of a workspace while its load was within its
limit. The limits are read from the document; if the platform is unavailable,
these refusals are not counted and a warning is printed.`,
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
	cmd.Flags().Float64Var(&flags.objective, "objective", defaultObjective, "fraction of requests to be served, above 0 and below 1")
	cmd.Flags().BoolVar(&flags.json, "json", false, "print JSON")
	return cmd
}

func (f burnFlags) check() error {
	if len(f.admins) == 0 {
		return errNoAdmin
	}
	if !(f.objective > 0 && f.objective < 1) {
		return usageError{errors.Errorf("--objective cannot be %g; use a fraction above 0 and below 1, for example %g", f.objective, defaultObjective)}
	}
	return nil
}

func (g *globalFlags) burn(cmd *cobra.Command, flags burnFlags) error {
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
		return errAlert
	}
	return nil
}

// limits reads the rate limits from the document. The report is needed most during
// a platform outage, so a failure to read them is not an error.
func (g *globalFlags) limits(cmd *cobra.Command) []report.Limit {
	st, err := g.load(cmd)
	if err != nil {
		fmt.Fprintf(cmd.ErrOrStderr(), "warning: wrongful refusals are not counted because the document cannot be read: %v\n", err)
		return nil
	}
	return admin.Limits(st)
}
