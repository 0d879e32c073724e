package cli

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// adminTimeout bounds one question to a daemon.
	adminTimeout = 2 * time.Second
	// maxAnswerBytes bounds the answer of a daemon.
	maxAnswerBytes = 64 << 20
	// questionsAtOnce bounds the daemons that are asked at the same time.
	questionsAtOnce = 32
)

// Pages of a daemon's admin address.
const (
	pageStatus  = "/status"
	pageMembers = "/members"
	pageReport  = "/report"
)

func addAdminFlag(cmd *cobra.Command, admins *[]string) {
	cmd.Flags().StringSliceVar(admins, "admin", nil, "admin addresses (IP:PORT) of one or more daemons; the others are found through them")
}

// asker asks daemons on their admin addresses.
type asker struct{ client *fasthttp.Client }

func newAsker() asker {
	return asker{&fasthttp.Client{MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1}}
}

// get reads the JSON of one page into out.
func (a asker) get(ctx context.Context, admin, page string, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + admin + page)
	deadline := time.Now().Add(adminTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := a.client.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(err, "no answer from %s%s", admin, page)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("%s%s answered with status %d; check that this is the admin address of a daemon", admin, page, resp.StatusCode())
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), out), "read the answer of %s%s", admin, page)
}

// host is a daemon of the fleet with its answer or the reason for its lack.
type host struct {
	name string
	// admin is empty when no daemon knows it.
	admin  string
	status daemon.Status
	err    error
}

// fleet is all daemons that are known to those asked.
type fleet []host

// askFleet asks the daemons at the addresses given for the others, and then all
// of them for their status.
func (a asker) askFleet(ctx context.Context, admins []string) fleet {
	f := a.find(ctx, admins)
	var g errgroup.Group
	g.SetLimit(questionsAtOnce)
	for i := range f {
		g.Go(func() error {
			f[i].ask(ctx, a)
			return nil
		})
	}
	_ = g.Wait() // errors are kept with the hosts
	slices.SortFunc(f, func(x, y host) int {
		if c := strings.Compare(x.status.DataCentre, y.status.DataCentre); c != 0 {
			return c
		}
		return strings.Compare(x.name, y.name)
	})
	return f
}

// find lists the daemons that those asked know, without the ones that have left.
// Addresses that give no answer are listed under themselves.
func (a asker) find(ctx context.Context, admins []string) fleet {
	known := map[string]member.Daemon{}
	var f fleet
	for _, admin := range admins {
		var members []member.Daemon
		if err := a.get(ctx, admin, pageMembers, &members); err != nil {
			f = append(f, host{name: admin, err: err})
			continue
		}
		for _, m := range members {
			if have, ok := known[m.Host]; !ok || member.Newer(m, have) {
				known[m.Host] = m
			}
		}
	}
	for _, m := range known {
		if m.State != member.StateLeft {
			f = append(f, host{name: m.Host, admin: m.AdminAddr})
		}
	}
	return f
}

// ask fills in the host's status. An address on loopback may lead to another
// daemon, which must not pass for this one.
func (h *host) ask(ctx context.Context, a asker) {
	if h.err != nil {
		return
	}
	if h.admin == "" {
		h.err = errors.Errorf("%s: no admin address is known; upgrade its daemon", h.name)
		return
	}
	h.err = a.get(ctx, h.admin, pageStatus, &h.status)
	if h.err == nil && h.status.Host != h.name {
		h.err = errors.Errorf("%s is said to answer on %s, where %s does; set --admin-listen of the daemon to an address that is reachable from here",
			h.name, h.admin, h.status.Host)
	}
}

// silent are the hosts without an answer.
func (f fleet) silent() []string {
	var names []string
	for _, h := range f {
		if h.err != nil {
			names = append(names, h.name)
		}
	}
	return names
}
