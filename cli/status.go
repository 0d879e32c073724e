package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// adminTimeout bounds one question to a daemon.
	adminTimeout = 2 * time.Second
	// maxStatusBytes bounds the answer of a daemon.
	maxStatusBytes = 16 << 20
)

// Status is what the CLI reads of a daemon's /status.
type Status struct {
	// Host names the daemon that answers.
	Host string `json:"host"`
	// Revision is the configuration in force at it.
	Revision uint64 `json:"revision"`
	// Daemons are the records that it knows, its own included.
	Daemons []member.Daemon `json:"daemons"`
}

// fetchStatus asks one daemon.
func fetchStatus(ctx context.Context, client *fasthttp.Client, admin string) (Status, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + admin + "/status")
	deadline := time.Now().Add(adminTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return Status{}, errors.Wrapf(err, "ask daemon %s", admin)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return Status{}, errors.Errorf("daemon %s answered with status %d; check that this is an admin address", admin, resp.StatusCode())
	}
	var st Status
	err := json.Unmarshal(resp.Body(), &st)
	return st, errors.Wrapf(err, "read the status of daemon %s", admin)
}

func adminClient() *fasthttp.Client {
	return &fasthttp.Client{MaxResponseBodySize: maxStatusBytes, ReadTimeout: adminTimeout}
}

// fleet is what the daemons asked know together.
type fleet struct {
	daemons map[string]member.Daemon
	// failed lists the daemons that gave no answer.
	failed []error
}

// askFleet asks daemons one after the other and merges their records.
func askFleet(ctx context.Context, client *fasthttp.Client, admins []string) fleet {
	f := fleet{daemons: map[string]member.Daemon{}}
	for _, admin := range admins {
		st, err := fetchStatus(ctx, client, admin)
		if err != nil {
			f.failed = append(f.failed, err)
			continue
		}
		f.add(st)
	}
	return f
}

func (f *fleet) add(st Status) {
	for _, d := range st.Daemons {
		known, ok := f.daemons[d.Host]
		if !ok || member.Newer(d, known) {
			f.daemons[d.Host] = d
		}
	}
	if own, ok := f.daemons[st.Host]; ok {
		own.Revision = max(own.Revision, st.Revision)
		f.daemons[st.Host] = own
		return
	}
	f.daemons[st.Host] = member.Daemon{Host: st.Host, Revision: st.Revision, State: member.StateServing}
}

// sorted returns the daemons that have not left, by data centre and host.
func (f *fleet) sorted() []member.Daemon {
	var out []member.Daemon
	for _, d := range f.daemons {
		if d.State != member.StateLeft {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b member.Daemon) int {
		if c := strings.Compare(a.DataCentre, b.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(a.Host, b.Host)
	})
	return out
}

func statusCommand(*globals) *cobra.Command {
	var admins []string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the daemons and targets of the fleet",
		Long: "Show the daemons and targets as the daemons asked know them. One daemon knows the\n" +
			"whole fleet; asking several shows where their views differ from what is reachable.",
		Example: "  gooseberryshed status --admin 10.0.0.1:7004,10.0.1.1:7004",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(admins) == 0 {
				return usageError{errors.New("no daemon to ask; pass --admin IP:PORT")}
			}
			f := askFleet(cmd.Context(), adminClient(), admins)
			printFleet(cmd, f)
			if len(f.failed) > 0 {
				return errors.Errorf("%d of %d daemons asked gave no answer", len(f.failed), len(admins))
			}
			return nil
		},
	}
	addAdminFlag(cmd, &admins)
	return cmd
}

func addAdminFlag(cmd *cobra.Command, admins *[]string) {
	cmd.Flags().StringSliceVar(admins, "admin", nil, "admin addresses (IP:PORT) of daemons to ask")
}

func printFleet(cmd *cobra.Command, f fleet) {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATACENTRE\tHOST\tSTATE\tREVISION\tTABLE\tTARGET\tSERVICE\tSTATE\tLIMIT\tSUSPECT")
	for _, d := range f.sorted() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t\t\t\t\t\n", d.DataCentre, d.Host, d.State, d.Revision, d.TableOK)
		for _, t := range d.Targets {
			fmt.Fprintf(w, "\t\t\t\t\t%s\t%s\t%s\t%d/%d\t%t\n", t.ID, t.Service, t.State, t.Limit, t.Slots, t.Suspect)
		}
	}
	w.Flush()
	for _, err := range f.failed {
		fmt.Fprintln(cmd.ErrOrStderr(), err)
	}
}
