package cli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
)

func configCommand(g *globalFlags) *cobra.Command {
	cmd := group(&cobra.Command{
		Use:   "config",
		Short: "Validate, apply and show the configuration document",
		Example: "  gooseberryshed config show orders > orders.yaml\n" +
			"  gooseberryshed config apply orders.yaml --wait",
	})
	cmd.AddCommand(validateCommand(g), diffCommand(g), applyCommand(g), removeCommand(g), showCommand(g), logCommand(g))
	return cmd
}

// readFiles parses files as parts of one document and reports the problems of
// all files together. The base is the lowest base given in any file.
func readFiles(names []string, stdin io.Reader) (config.Document, error) {
	var doc config.Document
	var problems config.Problems
	for _, name := range names {
		data, err := readFile(name, stdin)
		if err != nil {
			return config.Document{}, err
		}
		part, err := config.ParseDocument(name, data)
		var ps config.Problems
		if errors.As(err, &ps) {
			problems = append(problems, ps...)
			continue
		}
		if err != nil {
			return config.Document{}, err
		}
		doc.Sections = append(doc.Sections, part.Sections...)
		if part.Base != 0 && (doc.Base == 0 || part.Base < doc.Base) {
			doc.Base = part.Base
		}
	}
	if len(problems) > 0 {
		return config.Document{}, problems
	}
	return doc, nil
}

// readFile reads a file up to the maximum document size; "-" is standard input.
func readFile(name string, stdin io.Reader) ([]byte, error) {
	in := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read the configuration document")
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, config.MaxDocumentBytes+1))
	return data, errors.Wrapf(err, "read %s", name)
}

// mergeSections returns the accepted document with sections added or replaced.
func mergeSections(st configstore.State, sections []config.Section) []config.Section {
	replaced := make(map[string]bool, len(sections))
	for _, s := range sections {
		replaced[s.Name] = true
	}
	out := append([]config.Section(nil), sections...)
	for _, s := range st.Document() {
		if !replaced[s.Name] {
			out = append(out, s)
		}
	}
	return out
}

func validateCommand(g *globalFlags) *cobra.Command {
	var partial bool
	cmd := &cobra.Command{
		Use:   "validate FILE...",
		Short: "Validate files and report each problem with its position",
		Long: "Validate files as a complete document, without contacting the platform.\n" +
			"With --partial they are validated together with the other sections of the accepted document.",
		Example: "  gooseberryshed config validate orders.yaml datacentres.yaml\n" +
			"  gooseberryshed config validate --partial orders.yaml",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readFiles(args, cmd.InOrStdin())
			if err != nil {
				return err
			}
			sections := doc.Sections
			if partial {
				if sections, err = g.mergeWithAccepted(cmd, sections); err != nil {
					return err
				}
			}
			if err := config.Validate(sections); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "valid: %d sections\n", len(doc.Sections))
			return nil
		},
	}
	cmd.Flags().BoolVar(&partial, "partial", false, "validate together with the accepted document")
	return cmd
}

func (g *globalFlags) mergeWithAccepted(cmd *cobra.Command, sections []config.Section) ([]config.Section, error) {
	st, err := g.load(cmd)
	if err != nil {
		return nil, err
	}
	return mergeSections(st, sections), nil
}

// load reads the accepted configuration from the store.
func (g *globalFlags) load(cmd *cobra.Command) (configstore.State, error) {
	store, err := g.store()
	if err != nil {
		return configstore.State{}, err
	}
	ctx, cancel := g.context(cmd)
	defer cancel()
	return store.Load(ctx)
}

func diffCommand(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE...",
		Short:   "Show the changes that applying files would make",
		Example: "  gooseberryshed config diff orders.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readFiles(args, cmd.InOrStdin())
			if err != nil {
				return err
			}
			st, err := g.load(cmd)
			if err != nil {
				return err
			}
			after := mergeSections(st, doc.Sections)
			fmt.Fprint(cmd.OutOrStdout(), config.Diff(st.Document(), after))
			return config.Validate(after)
		},
	}
}

func showCommand(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "show [SECTION...]",
		Short: "Print the accepted document in a form that can be edited and applied",
		Example: "  gooseberryshed config show\n" +
			"  gooseberryshed config show orders > orders.yaml",
		RunE: func(cmd *cobra.Command, args []string) error {
			st, err := g.load(cmd)
			if err != nil {
				return err
			}
			doc := config.Document{Base: st.Revision, Sections: st.Document()}
			if len(args) > 0 {
				if doc.Sections, err = selectSections(doc.Sections, args); err != nil {
					return err
				}
			}
			text, err := config.Marshal(doc)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
}

func selectSections(sections []config.Section, names []string) ([]config.Section, error) {
	byName := make(map[string]config.Section, len(sections))
	known := make([]string, len(sections))
	for i, s := range sections {
		byName[s.Name] = s
		known[i] = s.Name
	}
	var out []config.Section
	for _, name := range names {
		s, ok := byName[name]
		if !ok {
			return nil, errors.Errorf("no section %q; the document has %s", name, strings.Join(known, ", "))
		}
		out = append(out, s)
	}
	return out, nil
}
