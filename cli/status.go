package cli

import (
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func statusCommand(*globals) *cobra.Command {
	var admins []string
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the daemons and targets of the fleet",
		Long:    "Ask all daemons for their status. The daemons given are asked for the others.",
		Example: "  gooseberryshed status --admin 10.0.0.1:8084",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(admins) == 0 {
				return errNoAdmin
			}
			f := newAsker().askFleet(cmd.Context(), admins)
			printFleet(cmd, f)
			if n := len(f.silent()); n > 0 {
				return errors.Errorf("%d of %d daemons gave no answer; check these hosts and the network to them", n, len(f))
			}
			return nil
		},
	}
	addAdminFlag(cmd, &admins)
	return cmd
}

var errNoAdmin = usageError{errors.New("no daemon to ask; pass --admin IP:PORT or set " + envPrefix + "ADMIN")}

func printFleet(cmd *cobra.Command, f fleet) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATACENTRE\tHOST\tSTATE\tREVISION\tIN TOUCH\tTARGET\tSERVICE\tSTATE\tLIMIT\tEJECTED")
	for _, h := range f {
		if h.err != nil {
			continue
		}
		st := &h.status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t\t\t\t\t\n", st.DataCentre, st.Host, st.State, st.Revision, yesNo(st.InTouch))
		for _, t := range st.Targets {
			ejected := yesNo(slices.Contains(st.Ejected, t.ID))
			fmt.Fprintf(w, "\t\t\t\t\t%s\t%s\t%s\t%d/%d\t%s\n", t.ID, t.Service, t.State, t.Limit, t.Slots, ejected)
		}
	}
	w.Flush()
	for _, h := range f {
		if h.err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", h.name, h.err)
		}
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
