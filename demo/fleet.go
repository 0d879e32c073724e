package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/settings"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	clusterSecret   = "secret-of-the-demo-fleet"
	// targetServiceTime is the time a target takes for each request.
	targetServiceTime = 5 * time.Millisecond
)

// host is a daemon and its targets.
type host struct {
	name       string
	dataCentre string
	daemon     *daemon.Daemon
	addrs      daemon.Addresses
	// targets maps the service names of menus and orders to their targets.
	targets map[string]*target.Target
}

// fleet consists of the platform, the daemons and the targets.
type fleet struct {
	platform    *standin.Platform
	platformURL string
	store       *configstore.Store
	hosts       []*host

	// daemons run until stopDaemons is called, the stand-ins until stopStandIns.
	daemons, standIns         errgroup.Group
	stopDaemons, stopStandIns context.CancelFunc
}

// startFleet starts the platform, the daemons and the targets, and applies the
// configuration. The daemons may not be serving yet when it returns.
func startFleet(ctx context.Context, logs io.Writer) (*fleet, error) {
	p := standin.New()
	f := &fleet{platform: p, store: configstore.New(p, p.Objects())}
	daemonsCtx, stopDaemons := context.WithCancel(context.WithoutCancel(ctx))
	standInsCtx, stopStandIns := context.WithCancel(context.WithoutCancel(ctx))
	f.stopDaemons, f.stopStandIns = stopDaemons, stopStandIns
	if err := f.start(ctx, daemonsCtx, standInsCtx, logs); err != nil {
		_ = f.stop() // the first error is more informative
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx, daemons, standIns context.Context, logs io.Writer) error {
	if err := f.servePlatform(standIns); err != nil {
		return err
	}
	if err := f.applyDocument(ctx); err != nil {
		return err
	}
	for i := range dataCentres * hostsPerDataCentre {
		h, err := f.startHost(daemons, standIns, i, logs)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

// servePlatform serves the platform on loopback, for the daemons' settings and the
// command line.
func (f *fleet) servePlatform(ctx context.Context) error {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return errors.Wrap(err, "listen on loopback")
	}
	f.platformURL = "http://" + l.Addr().String()
	context.AfterFunc(ctx, func() { l.Close() })
	f.standIns.Go(func() error {
		_ = f.platform.Server().Serve(l) // ends when the listener is closed
		return nil
	})
	return nil
}

func (f *fleet) applyDocument(ctx context.Context) error {
	c := configstore.Change{ID: configstore.NewChangeID(), Author: "demo", Message: "configuration of the demo"}
	for _, s := range document() {
		c.Edits = append(c.Edits, configstore.Edit{Name: s.Name, Section: &s})
	}
	_, err := f.store.Apply(ctx, c)
	return errors.WithMessage(err, "apply the configuration")
}

func (f *fleet) startHost(daemons, standIns context.Context, i int, logs io.Writer) (*host, error) {
	dc := dataCentreName(i % dataCentres)
	h := &host{name: fmt.Sprintf("%s-host-%d", dc, i/dataCentres+1), dataCentre: dc, targets: map[string]*target.Target{}}
	set, err := f.settings(h)
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(logs, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true}).With("host", h.name)
	h.daemon, err = daemon.New(daemon.Options{Settings: set, Table: f.platform, Objects: f.platform.Objects(), Logger: logger})
	if err != nil {
		return nil, errors.WithMessagef(err, "daemon of %s", h.name)
	}
	h.addrs = h.daemon.Addresses()
	f.daemons.Go(func() error { return h.daemon.Run(daemons) })
	for _, service := range []string{serviceMenus, serviceOrders} {
		if h.targets[service], err = f.startTarget(standIns, h, service); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (f *fleet) settings(h *host) (settings.Settings, error) {
	var set settings.Settings
	set.Bind(pflag.NewFlagSet("demo", pflag.ContinueOnError)) // sets the defaults
	set.Host, set.DataCentre = h.name, h.dataCentre
	set.CallerListen, set.ForwardListen, set.RPCListen = loopbackAnyPort, loopbackAnyPort, loopbackAnyPort
	set.AnnounceListen, set.AdminListen = loopbackAnyPort, loopbackAnyPort
	set.Platform = f.platformURL
	set.ClusterSecret = clusterSecret
	for _, other := range f.hosts {
		set.Peers = append(set.Peers, other.addrs.RPC)
	}
	return set, set.Validate()
}

func (f *fleet) startTarget(ctx context.Context, h *host, service string) (*target.Target, error) {
	var secrets []string
	for _, w := range workspaces {
		secrets = append(secrets, secret(w))
	}
	t, err := target.New(target.Options{
		Name:     service,
		Service:  service,
		Announce: "http://" + h.addrs.Announce,
		Work:     targetServiceTime,
		Secrets:  secrets,
		Crash:    func() {},
	})
	if err != nil {
		return nil, err
	}
	f.standIns.Go(func() error { return t.Run(ctx) })
	return t, nil
}

// admins returns the admin addresses of all daemons.
func (f *fleet) admins() []string {
	out := make([]string, len(f.hosts))
	for i, h := range f.hosts {
		out[i] = h.addrs.Admin
	}
	return out
}

// runs returns the executions recorded by all targets.
func (f *fleet) runs() []record.Run {
	var all []record.Run
	for _, h := range f.hosts {
		for _, t := range h.targets {
			all = append(all, t.Runs()...)
		}
	}
	return all
}

// runsIn returns the executions recorded by the targets of a data centre.
func (f *fleet) runsIn(dataCentre string) []record.Run {
	var out []record.Run
	for _, h := range f.hosts {
		if h.dataCentre != dataCentre {
			continue
		}
		for _, t := range h.targets {
			out = append(out, t.Runs()...)
		}
	}
	return out
}

// stop shuts down the daemons gracefully, then the stand-ins.
func (f *fleet) stop() error {
	f.stopDaemons()
	err := f.daemons.Wait()
	f.stopStandIns()
	if standInErr := f.standIns.Wait(); err == nil {
		err = standInErr
	}
	return err
}
