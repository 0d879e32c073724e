package admin

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/link"
	"github.com/gooseberryshed/gooseberryshed/member"
)

const (
	// requestTimeout bounds one request to a daemon.
	requestTimeout = 2 * time.Second
	// maxResponseBytes bounds the response of a daemon.
	maxResponseBytes = 64 << 20
	// maxConcurrentRequests bounds the daemons that are queried in parallel.
	maxConcurrentRequests = 32
)

// Pages of a daemon's admin address.
const (
	PageStatus  = "/status"
	PageMembers = "/members"
	PageReport  = "/report"
)

// Client queries daemons at their admin addresses.
type Client struct{ links *link.Pool }

func New() Client { return Client{link.New(link.Options{})} }

// Get fetches a page and decodes its JSON into out.
func (c Client) Get(ctx context.Context, admin, page string, out any) error {
	status, body, err := c.fetch(ctx, admin, page)
	if err != nil {
		return errors.Wrapf(err, "no response from %s%s", admin, page)
	}
	if status != fasthttp.StatusOK {
		return errors.Errorf("%s%s returned status %d; check that this is the admin address of a daemon", admin, page, status)
	}
	return errors.Wrapf(json.Unmarshal(body, out), "decode the response of %s%s", admin, page)
}

// fetch returns the status and the body of a page.
func (c Client) fetch(ctx context.Context, admin, page string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(page)
	req.Header.SetHost(admin)
	resp, err := c.links.Do(ctx, admin, req, link.RequestOptions{
		NewConnection:  true, // queries are rare, and commands short
		KeepConnection: func(*fasthttp.ResponseHeader) bool { return false },
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("the response exceeds %d bytes", maxResponseBytes)
	}
	return resp.Header.StatusCode(), body, err
}

// Host is a daemon of the fleet with its status, or the error of the request for it.
type Host struct {
	Name string
	// Admin is the daemon's admin address, empty if unknown.
	Admin  string
	Status daemon.Status
	Err    error
}

// Fleet lists all daemons known to the daemons that were queried.
type Fleet []Host

// Fleet discovers all daemons through those at the given addresses and fetches the
// status of each.
func (c Client) Fleet(ctx context.Context, admins []string) Fleet {
	f := c.discover(ctx, admins)
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i := range f {
		g.Go(func() error {
			f[i].fetchStatus(ctx, c)
			return nil
		})
	}
	_ = g.Wait() // errors are recorded per host
	slices.SortFunc(f, func(x, y Host) int {
		if order := strings.Compare(x.Status.DataCentre, y.Status.DataCentre); order != 0 {
			return order
		}
		return strings.Compare(x.Name, y.Name)
	})
	return f
}

// discover lists the daemons known at the given addresses, without those that have
// left. An address that does not respond is listed under its own name.
func (c Client) discover(ctx context.Context, admins []string) Fleet {
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

// fetchStatus fills in the host's status. A loopback address may reach another
// daemon, whose status must not be reported for this host.
func (h *Host) fetchStatus(ctx context.Context, c Client) {
	if h.Err != nil {
		return
	}
	if h.Admin == "" {
		h.Err = errors.Errorf("%s: admin address unknown; upgrade its daemon", h.Name)
		return
	}
	h.Err = c.Get(ctx, h.Admin, PageStatus, &h.Status)
	if h.Err == nil && h.Status.Host != h.Name {
		h.Err = errors.Errorf("%s advertises the admin address %s, which belongs to %s; set --admin-listen of the daemon to an address that is reachable from here",
			h.Name, h.Admin, h.Status.Host)
	}
}

// Unresponsive returns the names of the hosts whose status could not be fetched.
func (f Fleet) Unresponsive() []string {
	var names []string
	for _, h := range f {
		if h.Err != nil {
			names = append(names, h.Name)
		}
	}
	return names
}
