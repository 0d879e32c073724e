package cli

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/admin"
)

func statusCommand(*globalFlags) *cobra.Command {
	var admins []string
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the daemons and targets of the fleet",
		Long:    "Query the status of all daemons. The other daemons are discovered through those given by --admin.",
		Example: "  gooseberryshed status --admin 10.0.0.1:8084",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(admins) == 0 {
				return errNoAdmin
			}
			f := admin.New().Fleet(cmd.Context(), admins)
			printFleet(cmd, f)
			if n := len(f.Unresponsive()); n > 0 {
				return errors.Errorf("%d of %d daemons did not respond; check these hosts and the network path to them", n, len(f))
			}
			return nil
		},
	}
	addAdminFlag(cmd, &admins)
	return cmd
}

func addAdminFlag(cmd *cobra.Command, admins *[]string) {
	cmd.Flags().StringSliceVar(admins, "admin", nil, "admin addresses (IP:PORT) of one or more daemons; the others are discovered through them")
}

var errNoAdmin = usageError{errors.New("no daemon address; pass --admin IP:PORT or set " + envPrefix + "ADMIN")}

func printFleet(cmd *cobra.Command, f admin.Fleet) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATACENTRE\tHOST\tSTATE\tREVISION\tIN TOUCH\tTARGET\tSERVICE\tSTATE\tLIMIT\tEJECTED")
	for _, h := range f {
		if h.Err != nil {
			continue
		}
		st := &h.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t\t\t\t\t\n", st.DataCentre, st.Host, st.State, st.Revision, yesNo(st.UpToDate))
		for _, t := range st.Targets {
			ejected := yesNo(slices.Contains(st.Ejected, t.ID))
			fmt.Fprintf(w, "\t\t\t\t\t%s\t%s\t%s\t%d/%d\t%s\n", t.ID, t.Service, t.State, t.Limit, t.Slots, ejected)
		}
	}
	w.Flush()
	for _, h := range f {
		if h.Err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", h.Name, h.Err)
		}
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
