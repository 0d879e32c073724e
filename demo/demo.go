package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/admin"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/daemon"
	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/target"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/report"
)

const (
	// DefaultDuration is the time of traffic.
	DefaultDuration = 30 * time.Second
	// readyBound is how long the fleet may take until every daemon serves.
	readyBound = 20 * time.Second
	readyPause = 100 * time.Millisecond
	// fillTime lets the buckets of a fleet that starts for the first time fill.
	fillTime = 3 * time.Second
	// brokenShare is the share of requests that the broken target fails.
	brokenShare = 0.2
	// objective of the burn report.
	objective = 0.999
	// quietBound is how long after a change a data centre taken out may see
	// new work.
	quietBound = 5 * time.Second
)

// ErrBroken is the error of a demo in which a promise was broken.
var ErrBroken = errors.New("a promise was broken; see the lines above and report them")

// Options of a demo.
type Options struct {
	// Duration is the time of traffic. It defaults to DefaultDuration.
	Duration time.Duration
	// Out takes progress and results.
	Out io.Writer
	// Logs takes the daemons' log lines; nil drops them.
	Logs io.Writer
}

// Run runs a demo and returns its verdict.
func Run(ctx context.Context, o Options) (Verdict, error) {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	d := &demo{out: o.Out, duration: o.Duration, started: time.Now()}
	var err error
	if d.fleet, err = startFleet(ctx, o.Logs); err != nil {
		return Verdict{}, err
	}
	v, err := d.run(ctx)
	d.say("stopping the daemons, each after its last answer")
	if stopErr := d.fleet.stop(); err == nil && stopErr != nil {
		err = errors.WithMessage(stopErr, "planned stop")
	}
	if err != nil {
		return v, err
	}
	d.say("stopped")
	return v, nil
}

// demo is one run.
type demo struct {
	out      io.Writer
	duration time.Duration
	started  time.Time
	fleet    *fleet
	callers  *callers
	seen     int
	// changedAt is when the state of the data centre was last changed.
	changedAt time.Time
	// brokenAt is when the target was broken.
	brokenAt time.Time
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) (Verdict, error) {
	d.callers = newCallers(d.fleet.hosts)
	d.say("%d daemons in %d data centres, %d targets beside each; look on with:", len(d.fleet.hosts), dataCentres, targetsPerHost)
	fmt.Fprintf(d.out, "         gooseberryshed status --admin %s\n", d.fleet.hosts[0].addrs.Admin)
	fmt.Fprintf(d.out, "         gooseberryshed config show --platform %s\n", d.fleet.platformURL)
	if err := d.awaitReady(ctx); err != nil {
		return Verdict{}, err
	}
	// The owners of the rates are new as well, and their buckets start empty.
	if !pause.For(ctx, fillTime) {
		return Verdict{}, ctx.Err()
	}
	d.say("every daemon serves; sending %d menus, %d order states and %d orders a second", menuRate, statusRate, orderRate)
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.callers.run(traffic)
	}()
	err := d.script(ctx)
	stopTraffic()
	<-ended
	if err != nil {
		return Verdict{}, err
	}
	return d.conclude(ctx)
}

// awaitReady waits until every daemon knows every target and serves.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	client := admin.New()
	for _, h := range d.fleet.hosts {
		for !d.knowsAll(ctx, client, h) {
			if !pause.For(ctx, readyPause) {
				return errors.Errorf("%s does not know all targets after %s; run with --logs", h.name, readyBound)
			}
		}
	}
	return nil
}

// knowsAll asks a daemon whether it has the document and all targets.
func (d *demo) knowsAll(ctx context.Context, client admin.Client, h *host) bool {
	var st daemon.Status
	var members []member.Daemon
	if client.Get(ctx, h.addrs.Admin, admin.PageStatus, &st) != nil {
		return false
	}
	if client.Get(ctx, h.addrs.Admin, admin.PageMembers, &members) != nil {
		return false
	}
	targets := 0
	for _, m := range members {
		for _, t := range m.Targets {
			if t.State == member.TargetReady {
				targets++
			}
		}
	}
	return st.Revision > 0 && st.UpToDate && targets == len(d.fleet.hosts)*targetsPerHost
}

// step is a part of the script that lasts a share of the duration.
type step struct {
	share float64
	begin func(ctx context.Context) error
	end   func(ctx context.Context) error
}

func (d *demo) script(ctx context.Context) error {
	for _, s := range []step{
		{0.15, nothing, nothing},
		{0.45, d.breakTarget, d.repairTarget},
		{0.2, d.takeOut, d.judgeOut},
		{0.2, d.takeIn, nothing},
	} {
		if err := s.begin(ctx); err != nil {
			return err
		}
		if !pause.For(ctx, time.Duration(s.share*float64(d.duration))) {
			return ctx.Err()
		}
		d.progress()
		if err := s.end(ctx); err != nil {
			return err
		}
	}
	return nil
}

func nothing(context.Context) error { return nil }

// progress tells what came of the calls since the last time.
func (d *demo) progress() {
	calls := d.callers.all()
	v := Judge(calls[d.seen:], nil)
	d.seen = len(calls)
	d.say("answered %d, refused as not run %d, unknown %d, errors of targets %d, broken %d; p99 %s",
		v.Answered, v.NotRun, v.Unknown, v.TargetFailed, v.Broken, v.P99.Round(time.Millisecond/10))
}

func (d *demo) broken() *host { return d.fleet.hosts[0] }

func (d *demo) breakTarget(context.Context) error {
	d.say("the target of orders beside %s now fails %.0f%% of its requests, and its health check says all is well", d.broken().name, 100*brokenShare)
	d.brokenAt = time.Now()
	d.broken().targets[serviceOrders].SetFaults(target.Faults{ErrorShare: brokenShare, FakeHealth: true})
	return nil
}

// tellBroken tells how much the broken target was used.
func (d *demo) tellBroken() {
	var ran, failed int
	for _, r := range d.broken().targets[serviceOrders].Runs() {
		if r.Start.Before(d.brokenAt) {
			continue
		}
		ran++
		if r.Outcome == record.OutcomeError {
			failed++
		}
	}
	d.say("the broken target ran %d requests, of which it failed %d", ran, failed)
}

func (d *demo) repairTarget(ctx context.Context) error {
	d.tellBroken()
	ejected := map[string]int{}
	for _, h := range admin.New().Fleet(ctx, d.fleet.admins()) {
		for _, id := range h.Status.Ejected {
			ejected[id]++
		}
	}
	if len(ejected) == 0 {
		d.say("no target is ejected")
	}
	for id, n := range ejected {
		d.say("%s is ejected by %d of %d daemons", id, n, len(d.fleet.hosts))
	}
	d.broken().targets[serviceOrders].SetFaults(target.Faults{})
	d.say("the target is repaired")
	return nil
}

func (d *demo) takeOut(ctx context.Context) error { return d.setState(ctx, config.DataCentreOut) }

func (d *demo) takeIn(ctx context.Context) error { return d.setState(ctx, config.DataCentreIn) }

// changing is the data centre that is taken out and back.
func changing() string { return dataCentreName(1) }

func (d *demo) setState(ctx context.Context, state config.DataCentreState) error {
	c := configstore.Change{ID: configstore.NewChangeID(), Author: "demo", Message: changing() + " " + string(state)}
	res, err := d.fleet.store.Update(ctx, c, func(st configstore.State) ([]configstore.Edit, error) {
		places, _ := st.Section("places")
		sec := places.Section
		sec.DataCentres = slices.Clone(sec.DataCentres)
		i := slices.IndexFunc(sec.DataCentres, func(dc config.DataCentre) bool { return dc.Name == changing() })
		sec.DataCentres[i].State = state
		return []configstore.Edit{{Name: sec.Name, Base: st.Revision, Section: &sec}}, nil
	})
	if err != nil {
		return errors.WithMessagef(err, "data centre %s", state)
	}
	d.say("data centre %s is %s, revision %d", changing(), state, res.Revision)
	d.changedAt = time.Now()
	return nil
}

// judgeOut tells when the data centre that is out saw its last new work.
func (d *demo) judgeOut(context.Context) error {
	var last time.Duration
	var late int
	for _, r := range d.fleet.runsIn(changing()) {
		after := r.Start.Sub(d.changedAt)
		last = max(last, after)
		if after > quietBound {
			late++
		}
	}
	d.say("the targets of %s saw their last new request %.1f s after the change; %d came after %s", changing(), last.Seconds(), late, quietBound)
	return nil
}

func (d *demo) conclude(ctx context.Context) (Verdict, error) {
	v := Judge(d.callers.all(), d.fleet.runs())
	fmt.Fprintln(d.out)
	if err := v.Write(d.out); err != nil {
		return v, err
	}
	fmt.Fprintln(d.out, "\nruns at each target:")
	for _, h := range d.fleet.hosts {
		fmt.Fprintf(d.out, "  %s  menus %d, orders %d\n", h.name, len(h.targets[serviceMenus].Runs()), len(h.targets[serviceOrders].Runs()))
	}
	st, err := d.fleet.store.Load(ctx)
	if err != nil {
		return v, err
	}
	rep, err := admin.New().BurnReport(ctx, d.fleet.admins(), report.Options{Objective: objective, Limits: admin.Limits(st)})
	if err != nil {
		return v, err
	}
	var b strings.Builder
	if err := rep.WriteText(&b); err != nil {
		return v, err
	}
	fmt.Fprintf(d.out, "\n%s\n", b.String())
	return v, nil
}
