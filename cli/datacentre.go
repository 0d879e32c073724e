package cli

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
)

func dataCentreCommand(g *globalFlags) *cobra.Command {
	cmd := group(&cobra.Command{
		Use:     "datacentre",
		Short:   "Take data centres out of service and return them to service",
		Example: "  gooseberryshed datacentre out alfold-1 --message 'power works'\n  gooseberryshed datacentre in alfold-1",
	})
	cmd.AddCommand(
		dataCentreStateCommand(g, config.DataCentreOut, "Stop routing new requests to a data centre; requests in flight are completed"),
		dataCentreStateCommand(g, config.DataCentreIn, "Resume routing requests to a data centre"),
	)
	return cmd
}

func dataCentreStateCommand(g *globalFlags, state config.DataCentreState, short string) *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use:     string(state) + " DATACENTRE",
		Short:   short,
		Example: "  gooseberryshed datacentre " + string(state) + " alfold-1 --wait --admin 10.0.0.1:8084",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			res, err := g.update(cmd, &flags, func(st configstore.State) ([]configstore.Edit, error) {
				return setDataCentre(st, args[0], state)
			})
			if err != nil {
				return err
			}
			return flags.complete(cmd, res)
		},
	}
	flags.add(cmd)
	return cmd
}

func setDataCentre(st configstore.State, name string, state config.DataCentreState) ([]configstore.Edit, error) {
	for _, stored := range st.Sections {
		sec := stored.Section
		i := slices.IndexFunc(sec.DataCentres, func(d config.DataCentre) bool { return d.Name == name })
		if i < 0 {
			continue
		}
		sec.DataCentres = slices.Clone(sec.DataCentres)
		sec.DataCentres[i].State = state
		return []configstore.Edit{{Name: sec.Name, Base: st.Revision, Section: &sec}}, nil
	}
	return nil, errors.Errorf("no data centre %q; see gooseberryshed config show", name)
}
