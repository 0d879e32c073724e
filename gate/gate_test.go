package gate_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/gate"
	"github.com/gooseberryshed/gooseberryshed/wire"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func TestForwardSanitizesHeaders(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", nil)
	att := f.attempt()
	got, ref := f.forward(att)
	assert.Assert(t, ref == nil, "%v", ref)
	assert.Equal(t, got, "hello")
	fields := f.target.seen[0]
	assert.Equal(t, fields["Gooseberryshed-Workspace"], "w")
	assert.Equal(t, fields["Gooseberryshed-Attempt"], att.ID.String())
	assert.Equal(t, fields["Gooseberryshed-Deadline-Ms"], "10000")
	assert.Equal(t, fields["X-Request-Id"], "r1")
	for name, value := range fields {
		assert.Assert(t, !strings.Contains(value, "secret") && value != "forged", "%s: %s", name, value)
	}
	_, hop := fields["X-Hop"]
	assert.Assert(t, !hop)
}

func TestAtMostOnce(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", nil)
	att := f.attempt()
	for range 2 {
		got, ref := f.forward(att)
		assert.Assert(t, ref == nil, "%v", ref)
		assert.Equal(t, got, "hello")
	}
	assert.Equal(t, f.target.runs(), 1)
	state, err := f.Settle(context.Background(), att.ID, att.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.Ran)
	f.Tick(f.clock.advance(gate.DefaultReplayTTL + time.Millisecond))
	assert.NilError(t, f.Announce(f.announcement))
	_, ref := f.forward(att)
	assertRefused(t, ref, wire.ReasonDuplicateAttempt, wire.Unknown)

	repeatable := f.attempt()
	repeatable.Idempotent = true
	_, ref = f.forward(repeatable)
	assert.Assert(t, ref == nil, "%v", ref)
	_, ref = f.forward(repeatable)
	assertRefused(t, ref, wire.ReasonDuplicateAttempt, wire.Unknown)

	late := f.attempt()
	state, err = f.Settle(context.Background(), late.ID, late.Epoch)
	assert.NilError(t, err)
	assert.Equal(t, state, wire.NotRun)
	for range 2 {
		_, ref = f.forward(late)
		assertRefused(t, ref, wire.ReasonSettled, wire.NotRun)
	}
	assert.Equal(t, f.target.runs(), 2)
}

// TestDuplicateReceivesOriginalResponse cancels an attempt while it runs. A
// duplicate of the attempt must join it and receive the response of the only
// run.
func TestDuplicateReceivesOriginalResponse(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	f := start(t, startFakeTarget(t, func(rc *fasthttp.RequestCtx) {
		close(arrived)
		<-release
		hello(rc)
	}), "orders", nil)
	att := f.attempt()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, ref := forwardAndRead(t, f.Gate, ctx, att)
	assertRefused(t, ref, wire.ReasonTimeout, wire.Unknown)
	got := make(chan string, 1)
	go func() {
		s, _ := f.forward(att)
		got <- s
	}()
	close(release)
	assert.Equal(t, <-got, "hello")
	assert.Equal(t, f.target.runs(), 1)
	assert.Equal(t, f.Stats().Replayed, int64(1))
}

// TestLargeResponsesAreNotRetained checks that a response too large to retain
// is streamed, and that a duplicate of the attempt is refused because it has
// been dispatched.
func TestLargeResponsesAreNotRetained(t *testing.T) {
	large := strings.Repeat("x", 100_000)
	f := start(t, startFakeTarget(t, func(rc *fasthttp.RequestCtx) {
		rc.SetBodyStream(strings.NewReader(large), -1)
	}), "orders", nil)
	att := f.attempt()
	got, ref := f.forward(att)
	assert.Assert(t, ref == nil, "%v", ref)
	assert.Assert(t, got == large)
	_, ref = f.forward(att)
	assertRefused(t, ref, wire.ReasonDuplicateAttempt, wire.Unknown)
	assert.Equal(t, f.target.runs(), 1)
}

func TestRetainedResponsesAreBounded(t *testing.T) {
	const maxBytes = 20_000
	f := start(t, startFakeTarget(t, func(rc *fasthttp.RequestCtx) { rc.SetBodyString(strings.Repeat("x", 5000)) }),
		"orders", func(o *gate.Options) { o.ReplayMaxBytes = maxBytes })
	for range 10 {
		_, ref := f.forward(f.attempt())
		assert.Assert(t, ref == nil, "%v", ref)
		assert.Assert(t, f.Stats().KeptBytes <= maxBytes)
	}
}

func TestStaleEpochRefusalCarriesCurrentEpoch(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", nil)
	att := f.attempt()
	att.Epoch = wire.Epoch{}
	_, ref := f.forward(att)
	assertRefused(t, ref, wire.ReasonStaleEpoch, wire.NotRun)
	assert.Equal(t, ref.Epoch, f.Epoch())
	assert.Equal(t, f.target.runs(), 0)
}

func TestRefusalsBeforeDispatch(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", func(o *gate.Options) {
		o.Policy = policyFunc(func(att wire.Attempt) *wire.Refusal {
			if att.KeyID == "withdrawn" {
				return wire.Refuse(wire.ReasonBadKey, "withdrawn")
			}
			return nil
		})
		o.Quarantine = quarantineFunc(func(fp uint64) bool { return fp == 13 })
	})
	tests := []struct {
		name   string
		change func(*wire.Attempt)
		reason wire.Reason
	}{
		{"withdrawn key", func(a *wire.Attempt) { a.KeyID = "withdrawn" }, wire.ReasonBadKey},
		{"quarantined", func(a *wire.Attempt) { a.Fingerprint = 13 }, wire.ReasonQuarantined},
		{"other host", func(a *wire.Attempt) { a.Target = "g/a" }, wire.ReasonNoTarget},
		{"no such target", func(a *wire.Attempt) { a.Target = "h/b" }, wire.ReasonNoTarget},
		{"other service", func(a *wire.Attempt) { a.Service = "menus" }, wire.ReasonNoTarget},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			att := f.attempt()
			tc.change(&att)
			_, ref := f.forward(att)
			assertRefused(t, ref, tc.reason, wire.NotRun)
		})
	}
	assert.Equal(t, f.target.runs(), 0)
}

func TestTargetShedsLoad(t *testing.T) {
	shed := func(rc *fasthttp.RequestCtx) {
		rc.Response.Header.Set("Retry-After", "2")
		rc.SetStatusCode(503)
	}
	f := start(t, startFakeTarget(t, shed), "shedder", nil)
	_, ref := f.forward(f.attempt())
	assertRefused(t, ref, wire.ReasonBusy, wire.NotRun)
	assert.Equal(t, ref.RetryAfter, 2*time.Second)
	f = start(t, startFakeTarget(t, shed), "orders", nil)
	_, ref = f.forward(f.attempt())
	assert.Assert(t, ref == nil, "a 503 is passed through unless the service declares it to mean not run")
}

func TestLeavingTargetStopsReceivingRequests(t *testing.T) {
	f := start(t, startFakeTarget(t, hello), "orders", nil)
	f.announcement.State = announce.StateLeaving
	assert.NilError(t, f.Announce(f.announcement))
	_, ref := f.forward(f.attempt())
	assertRefused(t, ref, wire.ReasonLeaving, wire.NotRun)

	f = start(t, startFakeTarget(t, hello), "orders", nil)
	f.clock.advance(gate.DefaultAnnouncementTTL + time.Millisecond)
	_, ref = f.forward(f.attempt())
	assertRefused(t, ref, wire.ReasonNoTarget, wire.NotRun)
	assert.Equal(t, f.target.runs(), 0)
}

// TestOnlyOneGateServesTarget moves a target's announcements from one gate to
// its successor and checks at every step that at most one of them would send
// requests to the target.
func TestOnlyOneGateServesTarget(t *testing.T) {
	target := startFakeTarget(t, hello)
	withoutSoleDaemon := func(o *gate.Options) { o.SoleDaemon = nil }
	old := start(t, target, "orders", withoutSoleDaemon)
	next := gate.New(gate.Options{Host: "h", Incarnation: 2, Service: lookupService, Clock: old.clock.Now})
	t.Cleanup(next.Close)
	serves := func(g *gate.Gate) bool { return g.Targets()[0].State == "ready" }
	const step = 100 * time.Millisecond
	const announceEvery = 10 // steps
	var oldServed, nextServed bool
	for i := range 80 {
		now := old.clock.advance(step)
		receiver := old.Gate
		if i > 35 {
			receiver = next
		}
		if i%announceEvery == 0 {
			assert.NilError(t, receiver.Announce(old.announcement))
		}
		old.Tick(now)
		next.Tick(now)
		byOld := serves(old.Gate)
		byNext := len(next.Targets()) > 0 && serves(next)
		assert.Assert(t, !(byOld && byNext), "both gates serve the target at step %d", i)
		oldServed = oldServed || byOld
		nextServed = nextServed || byNext
	}
	assert.Assert(t, oldServed && nextServed)
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	f := start(t, startFakeTarget(t, func(rc *fasthttp.RequestCtx) {
		arrived <- struct{}{}
		<-release
		hello(rc)
	}), "orders", nil)
	got := make(chan string, 1)
	go func() {
		s, _ := f.forward(f.attempt())
		got <- s
	}()
	<-arrived
	short, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, f.Drain(short) != nil)
	_, ref := f.forward(f.attempt())
	assertRefused(t, ref, wire.ReasonLeaving, wire.NotRun)
	close(release)
	assert.NilError(t, f.Drain(context.Background()))
	assert.Equal(t, <-got, "hello")
}

// TestColdTargetRefusesNoQueueAttempts checks that a cold target at its limit
// refuses an attempt with NoQueue set, and queues another one.
func TestColdTargetRefusesNoQueueAttempts(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	f := start(t, startFakeTarget(t, func(rc *fasthttp.RequestCtx) {
		entered <- struct{}{}
		<-release
		hello(rc)
	}), "orders", nil)
	ended := make(chan error, 2)
	run := func(att wire.Attempt) {
		ans, err := f.Forward(context.Background(), att, newRequest())
		if err == nil {
			err = ans.Body.Close()
		}
		ended <- err
	}
	go run(f.attempt())
	<-entered
	noQueue := f.attempt()
	noQueue.NoQueue = true
	_, err := f.Forward(context.Background(), noQueue, newRequest())
	refusal := wire.AsRefusal(err)
	assert.Equal(t, refusal.Reason, wire.ReasonTargetCold)
	assert.Equal(t, refusal.Run, wire.NotRun)
	go run(f.attempt())
	close(release)
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}
