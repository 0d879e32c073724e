package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText prints the report as a table.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "objective %.4g, %d daemons responded\n", r.Objective, r.Daemons)
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "no response from: %s (their counts are missing from the report)\n", strings.Join(r.Missing, ", "))
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SCOPE\tNAME\tSERVED\tBAD\tLIMITED\tWRONGFUL\tSHARE\tBURN 5m\t30m\t1h\t6h\tALERT")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n",
			row.Scope, row.Name, row.Total.Served, row.Total.Bad, row.Total.Limited, row.Wrongful,
			row.ServedShare, row.Burn5m, row.Burn30m, row.Burn1h, row.Burn6h, row.Alert)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if r.WorstWorkspace != "" {
		fmt.Fprintf(w, "worst-served workspace: %s\n", r.WorstWorkspace)
	}
	return nil
}
