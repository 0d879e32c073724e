package admin

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
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
	PageStatus  = "/status"
	PageMembers = "/members"
	PageReport  = "/report"
)

// Client asks daemons on their admin addresses.
type Client struct{ http *fasthttp.Client }

// New returns a client.
func New() Client {
	return Client{&fasthttp.Client{MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1}}
}

// Get reads the JSON of one page into out.
func (c Client) Get(ctx context.Context, admin, page string, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + admin + page)
	deadline := time.Now().Add(adminTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(err, "no answer from %s%s", admin, page)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("%s%s answered with status %d; check that this is the admin address of a daemon", admin, page, resp.StatusCode())
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), out), "read the answer of %s%s", admin, page)
}

// Host is a daemon of the fleet with its answer or the reason for its lack.
type Host struct {
	Name string
	// Admin is its admin address, empty when no daemon knows it.
	Admin  string
	Status daemon.Status
	Err    error
}

// Fleet is all daemons that are known to those asked.
type Fleet []Host

// Fleet asks the daemons at the addresses given for the others, and then all
// of them for their status.
func (c Client) Fleet(ctx context.Context, admins []string) Fleet {
	f := c.find(ctx, admins)
	var g errgroup.Group
	g.SetLimit(questionsAtOnce)
	for i := range f {
		g.Go(func() error {
			f[i].ask(ctx, c)
			return nil
		})
	}
	_ = g.Wait() // errors are kept with the hosts
	slices.SortFunc(f, func(x, y Host) int {
		if order := strings.Compare(x.Status.DataCentre, y.Status.DataCentre); order != 0 {
			return order
		}
		return strings.Compare(x.Name, y.Name)
	})
	return f
}

// find lists the daemons that those asked know, without the ones that have left.
// Addresses that give no answer are listed under themselves.
func (c Client) find(ctx context.Context, admins []string) Fleet {
	known := map[string]member.Daemon{}
	var f Fleet
	for _, admin := range admins {
		var members []member.Daemon
		if err := c.Get(ctx, admin, PageMembers, &members); err != nil {
			f = append(f, Host{Name: admin, Err: err})
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
			f = append(f, Host{Name: m.Host, Admin: m.AdminAddr})
		}
	}
	return f
}

// ask fills in the host's status. An address on loopback may lead to another
// daemon, which must not pass for this one.
func (h *Host) ask(ctx context.Context, c Client) {
	if h.Err != nil {
		return
	}
	if h.Admin == "" {
		h.Err = errors.Errorf("%s: no admin address is known; upgrade its daemon", h.Name)
		return
	}
	h.Err = c.Get(ctx, h.Admin, PageStatus, &h.Status)
	if h.Err == nil && h.Status.Host != h.Name {
		h.Err = errors.Errorf("%s is said to answer on %s, where %s does; set --admin-listen of the daemon to an address that is reachable from here",
			h.Name, h.Admin, h.Status.Host)
	}
}

// Silent are the hosts without an answer.
func (f Fleet) Silent() []string {
	var names []string
	for _, h := range f {
		if h.Err != nil {
			names = append(names, h.Name)
		}
	}
	return names
}
