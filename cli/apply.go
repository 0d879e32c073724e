package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
)

// changeFlags are the flags of commands that modify the document.
type changeFlags struct {
	author   string
	message  string
	changeID string
	wait     waitFlags
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.author, "author", defaultAuthor(), "author of the change, recorded in the log")
	cmd.Flags().StringVarP(&f.message, "message", "m", "", "reason for the change, recorded in the log")
	cmd.Flags().StringVar(&f.changeID, "change-id", "", "id of the change; a change is applied at most once per id, so it can be retried with the same id")
	f.wait.add(cmd)
}

func defaultAuthor() string {
	for _, name := range []string{"USER", "LOGNAME"} {
		if v := os.Getenv(name); v != "" {
			return v
		}
	}
	return "unknown"
}

// change returns a Change without edits.
func (f *changeFlags) change() configstore.Change {
	id := f.changeID
	if id == "" {
		id = configstore.NewChangeID()
	}
	return configstore.Change{ID: id, Author: f.author, Message: f.message}
}

// complete prints the result of an accepted change and, with --wait, waits until
// the change is in force.
func (f *changeFlags) complete(cmd *cobra.Command, res configstore.Result) error {
	state := "accepted"
	switch {
	case res.Repeated:
		state = "accepted earlier"
	case res.Unchanged:
		state = "no changes"
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s, revision %d\n", state, res.Revision)
	return f.wait.run(cmd, res.Revision)
}

func applyCommand(g *globalFlags) *cobra.Command {
	var flags changeFlags
	var base uint64
	var overwrite bool
	cmd := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Apply the sections in files as one change",
		Long: "Apply the sections in files atomically as one change.\n" +
			"Sections that are not in the files are left unchanged.\n\n" +
			"The field base of a file is the revision that it was edited from, as printed by config show.\n" +
			"A section that has changed since that revision is a conflict (exit code 3), because applying\n" +
			"the file would revert that change, for example the withdrawal of a key.",
		Example: "  gooseberryshed config apply orders.yaml\n" +
			"  gooseberryshed config apply orders.yaml --message 'raise the rate of parish-12' --wait --admin 10.0.0.1:8084",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.wait.check(); err != nil {
				return err
			}
			doc, err := readFiles(args, cmd.InOrStdin())
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("base") {
				doc.Base = base
			}
			res, err := g.apply(cmd, doc, overwrite, flags.change())
			if err != nil {
				return err
			}
			return flags.complete(cmd, res)
		},
	}
	flags.add(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "revision that the files were edited from; default: the field base of the files")
	cmd.Flags().BoolVar(&overwrite, "overwrite", false, "overwrite changes made to these sections since the base revision")
	return cmd
}

func (g *globalFlags) apply(cmd *cobra.Command, doc config.Document, overwrite bool, c configstore.Change) (configstore.Result, error) {
	store, err := g.store()
	if err != nil {
		return configstore.Result{}, err
	}
	ctx, cancel := g.context(cmd)
	defer cancel()
	st, err := store.Load(ctx)
	if err != nil {
		return configstore.Result{}, err
	}
	if overwrite {
		doc.Base = st.Revision
	}
	fmt.Fprint(cmd.ErrOrStderr(), config.Diff(st.Document(), mergeSections(st, doc.Sections)))
	for i := range doc.Sections {
		s := &doc.Sections[i]
		c.Edits = append(c.Edits, configstore.Edit{Name: s.Name, Base: doc.Base, Section: s})
	}
	res, err := store.Apply(ctx, c)
	return res, err
}

func removeCommand(g *globalFlags) *cobra.Command {
	var flags changeFlags
	var base uint64
	cmd := &cobra.Command{
		Use:     "remove SECTION",
		Short:   "Remove a section",
		Example: "  gooseberryshed config remove swatches --base 42",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.wait.check(); err != nil {
				return err
			}
			store, err := g.store()
			if err != nil {
				return err
			}
			ctx, cancel := g.context(cmd)
			defer cancel()
			c := flags.change()
			c.Edits = []configstore.Edit{{Name: args[0], Base: base}}
			res, err := store.Apply(ctx, c)
			if err != nil {
				return err
			}
			return flags.complete(cmd, res)
		},
	}
	flags.add(cmd)
	cmd.Flags().Uint64Var(&base, "base", 0, "revision at which the section was read")
	if err := cmd.MarkFlagRequired("base"); err != nil {
		panic(errors.Wrap(err, "flag base"))
	}
	return cmd
}
