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
	// DefaultDuration is the default duration of the traffic.
	DefaultDuration = 30 * time.Second
	// readyTimeout is the maximum time until every daemon serves.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 100 * time.Millisecond
	// bucketFillTime is the time for the token buckets of a newly started fleet to fill.
	bucketFillTime = 3 * time.Second
	// injectedErrorRate is the fraction of requests that fail at the faulty target.
	injectedErrorRate = 0.2
	// objective is the availability objective of the burn report.
	objective = 0.999
	// evacuationTimeout is the maximum time that a data centre may receive new requests
	// after it was taken out of service.
	evacuationTimeout = 5 * time.Second
)

// ErrInvariantViolated is returned if the demo found a violated invariant.
var ErrInvariantViolated = errors.New("an invariant was violated; see the lines above and report them")

// Options configures a demo.
type Options struct {
	// Duration of the traffic. It defaults to DefaultDuration.
	Duration time.Duration
	// Out receives progress messages and results.
	Out io.Writer
	// Logs receives the log lines of the daemons; nil discards them.
	Logs io.Writer
}

// Run runs a demo and returns its result.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	d := &demo{out: o.Out, duration: o.Duration, started: time.Now()}
	var err error
	if d.fleet, err = startFleet(ctx, o.Logs); err != nil {
		return Result{}, err
	}
	result, err := d.run(ctx)
	d.logf("stopping the daemons after their requests in flight")
	if stopErr := d.fleet.stop(); err == nil && stopErr != nil {
		err = errors.WithMessage(stopErr, "planned stop")
	}
	if err != nil {
		return result, err
	}
	d.logf("stopped")
	return result, nil
}

// demo is the state of one run.
type demo struct {
	out           io.Writer
	duration      time.Duration
	started       time.Time
	fleet         *fleet
	load          *loadGenerator
	reportedCalls int
	// stateChangedAt is the time of the last state change of the data centre.
	stateChangedAt time.Time
	// faultsInjectedAt is the time at which errors were enabled at the faulty
	// target.
	faultsInjectedAt time.Time
}

func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) (Result, error) {
	d.load = newLoadGenerator(d.fleet.hosts)
	d.logf("%d daemons in %d data centres, %d targets per daemon; inspect the fleet with:", len(d.fleet.hosts), dataCentres, targetsPerHost)
	fmt.Fprintf(d.out, "         gooseberryshed status --admin %s\n", d.fleet.hosts[0].addrs.Admin)
	fmt.Fprintf(d.out, "         gooseberryshed config show --platform %s\n", d.fleet.platformURL)
	if err := d.waitReady(ctx); err != nil {
		return Result{}, err
	}
	// The owners of the rate limits have just started, and their token buckets are
	// empty at first.
	if !pause.For(ctx, bucketFillTime) {
		return Result{}, ctx.Err()
	}
	d.logf("all daemons are serving; sending %d menu requests, %d order status requests and %d orders per second", menuRate, statusRate, orderRate)
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.load.run(traffic)
	}()
	err := d.runScenario(ctx)
	stopTraffic()
	<-done
	if err != nil {
		return Result{}, err
	}
	return d.printResults(ctx)
}

// waitReady waits until every daemon has the document and knows all targets.
func (d *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := admin.New()
	for _, h := range d.fleet.hosts {
		for !d.isReady(ctx, client, h) {
			if !pause.For(ctx, readyPollInterval) {
				return errors.Errorf("%s does not have the document and all targets after %s; run with --logs for details", h.name, readyTimeout)
			}
		}
	}
	return nil
}

// isReady reports whether a daemon has the document and knows all targets.
func (d *demo) isReady(ctx context.Context, client admin.Client, h *host) bool {
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

// step is a part of the scenario that takes a fraction of the duration.
type step struct {
	share float64
	begin func(ctx context.Context) error
	end   func(ctx context.Context) error
}

func (d *demo) runScenario(ctx context.Context) error {
	for _, s := range []step{
		{0.15, noop, noop},
		{0.45, d.injectFaults, d.clearFaults},
		{0.2, d.evacuate, d.printEvacuation},
		{0.2, d.restore, noop},
	} {
		if err := s.begin(ctx); err != nil {
			return err
		}
		if !pause.For(ctx, time.Duration(s.share*float64(d.duration))) {
			return ctx.Err()
		}
		d.printProgress()
		if err := s.end(ctx); err != nil {
			return err
		}
	}
	return nil
}

func noop(context.Context) error { return nil }

// printProgress prints a summary of the requests recorded since the previous call.
func (d *demo) printProgress() {
	calls := d.load.recorded()
	v := Evaluate(calls[d.reportedCalls:], nil)
	d.reportedCalls = len(calls)
	d.logf("succeeded %d, refused (not run) %d, unknown outcome %d, target errors %d, connection errors %d; p99 %s",
		v.Succeeded, v.NotRun, v.Unknown, v.TargetErrors, v.ConnectionErrors, v.P99.Round(time.Millisecond/10))
}

func (d *demo) faultyHost() *host { return d.fleet.hosts[0] }

func (d *demo) injectFaults(context.Context) error {
	d.logf("the orders target of %s now returns errors for %.0f%% of its requests while its health check passes", d.faultyHost().name, 100*injectedErrorRate)
	d.faultsInjectedAt = time.Now()
	d.faultyHost().targets[serviceOrders].SetFaults(target.Faults{ErrorShare: injectedErrorRate, FakeHealth: true})
	return nil
}

// printFaultyTarget prints how many requests the faulty target received.
func (d *demo) printFaultyTarget() {
	var ran, failed int
	for _, r := range d.faultyHost().targets[serviceOrders].Runs() {
		if r.Start.Before(d.faultsInjectedAt) {
			continue
		}
		ran++
		if r.Outcome == record.OutcomeError {
			failed++
		}
	}
	d.logf("the faulty target received %d requests and returned errors for %d", ran, failed)
}

func (d *demo) clearFaults(ctx context.Context) error {
	d.printFaultyTarget()
	ejected := map[string]int{}
	for _, h := range admin.New().Fleet(ctx, d.fleet.admins()) {
		for _, id := range h.Status.Ejected {
			ejected[id]++
		}
	}
	if len(ejected) == 0 {
		d.logf("no target is ejected")
	}
	for id, n := range ejected {
		d.logf("%s is ejected by %d of %d daemons", id, n, len(d.fleet.hosts))
	}
	d.faultyHost().targets[serviceOrders].SetFaults(target.Faults{})
	d.logf("the target no longer returns errors")
	return nil
}

func (d *demo) evacuate(ctx context.Context) error {
	return d.setDataCentreState(ctx, config.DataCentreOut)
}

func (d *demo) restore(ctx context.Context) error {
	return d.setDataCentreState(ctx, config.DataCentreIn)
}

// evacuatedDataCentre returns the name of the data centre that is taken out of
// service and returned.
func evacuatedDataCentre() string { return dataCentreName(1) }

func (d *demo) setDataCentreState(ctx context.Context, state config.DataCentreState) error {
	c := configstore.Change{ID: configstore.NewChangeID(), Author: "demo", Message: evacuatedDataCentre() + " " + string(state)}
	res, err := d.fleet.store.Update(ctx, c, func(st configstore.State) ([]configstore.Edit, error) {
		places, _ := st.Section("places")
		sec := places.Section
		sec.DataCentres = slices.Clone(sec.DataCentres)
		i := slices.IndexFunc(sec.DataCentres, func(dc config.DataCentre) bool { return dc.Name == evacuatedDataCentre() })
		sec.DataCentres[i].State = state
		return []configstore.Edit{{Name: sec.Name, Base: st.Revision, Section: &sec}}, nil
	})
	if err != nil {
		return errors.WithMessagef(err, "data centre %s", state)
	}
	d.logf("data centre %s is %s, revision %d", evacuatedDataCentre(), state, res.Revision)
	d.stateChangedAt = time.Now()
	return nil
}

// printEvacuation prints when the data centre that was taken out received its last
// new request.
func (d *demo) printEvacuation(context.Context) error {
	var last time.Duration
	var late int
	for _, r := range d.fleet.runsIn(evacuatedDataCentre()) {
		after := r.Start.Sub(d.stateChangedAt)
		last = max(last, after)
		if after > evacuationTimeout {
			late++
		}
	}
	d.logf("the targets of %s received their last new request %.1f s after the change; %d requests arrived later than %s after it", evacuatedDataCentre(), last.Seconds(), late, evacuationTimeout)
	return nil
}

func (d *demo) printResults(ctx context.Context) (Result, error) {
	result := Evaluate(d.load.recorded(), d.fleet.runs())
	fmt.Fprintln(d.out)
	if err := result.Write(d.out); err != nil {
		return result, err
	}
	fmt.Fprintln(d.out, "\nrequests received by each target:")
	for _, h := range d.fleet.hosts {
		fmt.Fprintf(d.out, "  %s  menus %d, orders %d\n", h.name, len(h.targets[serviceMenus].Runs()), len(h.targets[serviceOrders].Runs()))
	}
	st, err := d.fleet.store.Load(ctx)
	if err != nil {
		return result, err
	}
	rep, err := admin.New().BurnReport(ctx, d.fleet.admins(), report.Options{Objective: objective, Limits: admin.Limits(st)})
	if err != nil {
		return result, err
	}
	var b strings.Builder
	if err := rep.WriteText(&b); err != nil {
		return result, err
	}
	fmt.Fprintf(d.out, "\n%s\n", b.String())
	return result, nil
}
