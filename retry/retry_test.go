package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

var start = time.Unix(1_700_000_000, 0)

// expectedActions holds the actions for an idempotent or non-idempotent request
// whose attempt was not run or has an unknown run state.
type expectedActions struct {
	idNotRun, idUnknown, onceNotRun, onceUnknown Action
}

var expectedByReason = map[wire.Reason]expectedActions{
	wire.ReasonBadRequest:            {Stop, Stop, Stop, Settle},
	wire.ReasonNoRoute:               {Stop, Stop, Stop, Settle},
	wire.ReasonNoKey:                 {Stop, Stop, Stop, Settle},
	wire.ReasonBadKey:                {Stop, Stop, Stop, Settle},
	wire.ReasonForbidden:             {Stop, Stop, Stop, Settle},
	wire.ReasonRateExceeded:          {Stop, Stop, Stop, Settle},
	wire.ReasonLimiterUnavailable:    {Stop, Stop, Stop, Settle},
	wire.ReasonBusy:                  {Retry, Retry, Retry, Settle},
	wire.ReasonTargetCold:            {Retry, Retry, Retry, Settle},
	wire.ReasonLeaving:               {Retry, Retry, Retry, Settle},
	wire.ReasonDataCentreOut:         {Retry, Retry, Retry, Settle},
	wire.ReasonNoTarget:              {Retry, Retry, Retry, Settle},
	wire.ReasonStaleEpoch:            {Retry, Retry, Retry, Settle},
	wire.ReasonStaleConfig:           {Retry, Retry, Retry, Settle},
	wire.ReasonQuarantined:           {Stop, Stop, Stop, Settle},
	wire.ReasonTooLarge:              {Stop, Stop, Stop, Settle},
	wire.ReasonTimeout:               {Retry, Retry, Retry, Settle},
	wire.ReasonUnreachable:           {Retry, Retry, Retry, Settle},
	wire.ReasonTargetFailed:          {Retry, Retry, Retry, Stop},
	wire.ReasonIdempotencyKeyReused:  {Stop, Stop, Stop, Settle},
	wire.ReasonInProgress:            {Stop, Stop, Stop, Settle},
	wire.ReasonClaimStoreUnavailable: {Stop, Stop, Stop, Settle},
	wire.ReasonUnauthenticatedPeer:   {Retry, Retry, Retry, Settle},
	wire.ReasonSettled:               {Retry, Retry, Retry, Settle},
	wire.ReasonStaleHost:             {Retry, Retry, Retry, Settle},
	wire.ReasonTargetDied:            {Retry, Retry, Retry, Stop},
	wire.ReasonDuplicateAttempt:      {Retry, Retry, Retry, Settle},
}

func newState(idempotent bool) *State {
	return &State{Idempotent: idempotent, Deadline: start.Add(10 * time.Second), Attempts: 1, Budget: NewBudget(0, 0)}
}

func TestNextForEachReason(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for reason, want := range expectedByReason {
		t.Run(string(reason), func(t *testing.T) {
			action := func(idempotent bool, run wire.RunState) Action {
				return Next(newState(idempotent), Outcome{Reason: reason, Run: run}, start, rng).Action
			}
			assert.Equal(t, action(true, wire.NotRun), want.idNotRun)
			assert.Equal(t, action(true, wire.Unknown), want.idUnknown)
			assert.Equal(t, action(false, wire.NotRun), want.onceNotRun)
			assert.Equal(t, action(false, wire.Unknown), want.onceUnknown)
		})
	}
}

func sampledReasons() []wire.Reason {
	var out []wire.Reason
	for r := range classes {
		out = append(out, r)
	}
	return append(out, wire.ReasonBadRequest, wire.ReasonQuarantined, wire.ReasonRateExceeded)
}

// TestNonIdempotentRunsOnce drives whole requests through random outcomes. Each
// attempt that did not end in "not run" counts as a possible run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	states := []wire.RunState{wire.NotRun, wire.Running, wire.Ran, wire.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		st := newState(false)
		runs := 0
		for range 20 {
			out := Outcome{
				Reason: rapid.SampledFrom(sampledReasons()).Draw(t, "reason"),
				Run:    rapid.SampledFrom(states).Draw(t, "run"),
			}
			d := Next(st, out, start, rng)
			if d.Action == Settle {
				out.Settled = true
				out.Run = rapid.SampledFrom(states).Draw(t, "settled")
				d = Next(st, out, start, rng)
			}
			if out.Run != wire.NotRun {
				runs++
			}
			if d.Action == Settle {
				t.Fatal("settled twice")
			}
			if d.Action == Stop {
				if (d.Run == wire.NotRun) != (runs == 0) {
					t.Fatalf("reported run state %s after %d possible runs", d.Run, runs)
				}
				return
			}
			if runs > 0 {
				t.Fatalf("retried after a possible run: %+v", out)
			}
		}
		t.Fatal("the request did not end within 20 outcomes")
	})
}

func TestRetryLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	busy := Outcome{Reason: wire.ReasonBusy, Run: wire.NotRun}

	st := newState(true)
	st.Attempts = DefaultAttempts
	assert.Equal(t, Next(st, busy, start, rng).Action, Stop, "attempts")

	st = newState(true)
	assert.Equal(t, Next(st, busy, st.Deadline.Add(-minRemaining/2), rng).Action, Stop, "deadline")

	st = newState(true)
	stale := Outcome{Reason: wire.ReasonStaleEpoch, Run: wire.NotRun}
	for range maxRefreshes {
		d := Next(st, stale, start, rng)
		assert.Equal(t, d.Action, Retry)
		assert.Assert(t, d.SameTarget)
	}
	assert.Equal(t, Next(st, stale, start, rng).Action, Stop, "refreshes")
	assert.Equal(t, st.Attempts, 1)
}

// TestReroutesAreFreeButBounded checks that refusals that put no load on a
// target use neither the budget nor the attempts, but are bounded.
func TestReroutesAreFreeButBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, reason := range []wire.Reason{wire.ReasonTargetCold, wire.ReasonLeaving, wire.ReasonNoTarget} {
		st := newState(false)
		st.Budget = NewBudget(0.2, 1)
		assert.Assert(t, st.Budget.Withdraw())
		reroutes := 0
		for Next(st, Outcome{Reason: reason, Run: wire.NotRun}, start, rng).Action == Retry {
			reroutes++
		}
		assert.Equal(t, reroutes, maxReroutes)
		assert.Equal(t, st.Attempts, 1)
	}
}

func TestSecondTargetDeathStopsRetries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	died := Outcome{Reason: wire.ReasonTargetDied, Run: wire.Unknown}
	st := newState(true)
	d := Next(st, died, start, rng)
	assert.Equal(t, d.Action, Retry)
	assert.Assert(t, d.IdleTarget)
	assert.Equal(t, Next(st, died, start, rng).Action, Stop)
}

// TestBudgetBoundsRetries makes every attempt fail and checks the total number
// of retries.
func TestBudgetBoundsRetries(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := NewBudget(0.2, 10)
	const requests = 10_000
	retries := 0
	for range requests {
		b.Deposit()
		st := newState(true)
		st.Budget = b
		for Next(st, Outcome{Reason: wire.ReasonBusy, Run: wire.NotRun}, start, rng).Action == Retry {
			retries++
		}
	}
	assert.Assert(t, retries <= requests/5+10, "%d retries", retries)
	assert.Assert(t, retries >= requests/5, "%d retries", retries)
}
