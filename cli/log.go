package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/configstore"
)

const defaultLogLimit = 20

func logCommand(g *globalFlags) *cobra.Command {
	var since uint64
	var limit int
	cmd := &cobra.Command{
		Use:   "log",
		Short: "List accepted changes, oldest first",
		Example: "  gooseberryshed config log\n" +
			"  gooseberryshed config log --since 120 --limit 100",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := g.store()
			if err != nil {
				return err
			}
			ctx, cancel := g.context(cmd)
			defer cancel()
			if !cmd.Flags().Changed("since") {
				head, err := store.Head(ctx)
				if err != nil {
					return err
				}
				since = head - min(head, uint64(max(limit, 0)))
			}
			deltas, err := store.Since(ctx, since, limit)
			if err != nil {
				return err
			}
			for _, d := range deltas {
				printDelta(cmd, d)
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&since, "since", 0, "list changes after this revision; default: the most recent changes")
	cmd.Flags().IntVar(&limit, "limit", defaultLogLimit, "maximum number of changes to list")
	return cmd
}

func printDelta(cmd *cobra.Command, d configstore.Delta) {
	names := make([]string, len(d.Patches))
	for i, p := range d.Patches {
		names[i] = p.Section
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d  %s  %s  %s  %s  %s\n",
		d.Revision, d.Time.UTC().Format(time.RFC3339), d.ChangeID, d.Author, strings.Join(names, ","), d.Message)
}
