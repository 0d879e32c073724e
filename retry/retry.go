package retry

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Action is the next step of a request.
type Action int

const (
	// Stop ends the request with the decision's refusal.
	Stop Action = iota
	// Retry makes another attempt after the decision's delay.
	Retry
	// Settle asks the gate for the state of the attempt and calls Next again
	// with the settled state.
	Settle
)

// String returns the name of the action.
func (a Action) String() string {
	switch a {
	case Retry:
		return "retry"
	case Settle:
		return "settle"
	}
	return "stop"
}

const (
	// DefaultAttempts bounds the attempts of one request.
	DefaultAttempts = 3
	// maxRefreshes bounds the retries that only update an epoch or a
	// configuration; they count neither as attempts nor against the budget.
	maxRefreshes = 4
	// maxReroutes bounds the retries after refusals that put no load on a
	// target; they do not count as attempts. After maxImmediateReroutes of
	// them, the request waits for updated membership.
	maxReroutes          = 8
	maxImmediateReroutes = 3
	// rerouteDelay is the wait for updated membership.
	rerouteDelay = 50 * time.Millisecond
	// refreshDelay gives a gate time to apply the current configuration.
	refreshDelay = 30 * time.Millisecond
	// minRemaining is the minimum remaining time for another attempt.
	minRemaining = 20 * time.Millisecond
	baseBackoff  = 10 * time.Millisecond
	maxBackoff   = 250 * time.Millisecond
)

// State is the progress of one request. The ingress keeps it and passes it to
// Next, which updates the counters.
type State struct {
	Idempotent bool
	// Deadline is the time by which the whole request must be answered.
	Deadline time.Time
	// MaxAttempts defaults to DefaultAttempts.
	MaxAttempts int
	// Attempts counts the attempts made; the ingress initialises it to 1.
	Attempts int
	// Refreshes counts the attempts made to update an epoch or a configuration.
	Refreshes int
	// Reroutes counts the retries at other targets, which do not count as
	// attempts.
	Reroutes int
	// Deaths counts the targets that died with this request in flight.
	Deaths int
	// Budget is the retry budget of the service.
	Budget *Budget
}

// Outcome is the result of a failed attempt.
type Outcome struct {
	Reason wire.Reason
	Run    wire.RunState
	// Settled means that Run is the result of a settlement.
	Settled bool
}

// Decision is the next step after a failed attempt.
type Decision struct {
	Action Action
	// Delay is the delay before a retry.
	Delay time.Duration
	// SameTarget permits reusing the target of the last attempt, which was not
	// at fault.
	SameTarget bool
	// IdleTarget requires a target with no other request in flight.
	IdleTarget bool
	// Run is the run state reported to the caller when the action is Stop.
	Run wire.RunState
}

// Rand is the source of jitter.
type Rand interface {
	Float64() float64
}

// Next decides what follows the outcome of the last attempt.
func Next(st *State, out Outcome, now time.Time, rng Rand) Decision {
	stop := Decision{Action: Stop, Run: reportedRunState(out)}
	if needsSettlement(st, out) {
		return Decision{Action: Settle, Run: stop.Run}
	}
	if !safeToRetry(st, out) {
		return stop
	}
	switch classOf(out.Reason) {
	case classFinal:
		return stop
	case classStale:
		return refresh(st, now, stop)
	case classReroute:
		if out.Run == wire.NotRun {
			return reroute(st, now, stop)
		}
	case classTargetDied:
		return retryAfterDeath(st, now, rng, stop)
	}
	return retryWithBackoff(st, now, rng, stop)
}

// reportedRunState returns the run state that may be reported to a caller.
func reportedRunState(out Outcome) wire.RunState {
	if out.Run == wire.NotRun {
		return wire.NotRun
	}
	return wire.Unknown
}

// needsSettlement reports whether the run state of a non-idempotent attempt is
// still unresolved and the gate can resolve it.
func needsSettlement(st *State, out Outcome) bool {
	if st.Idempotent || out.Settled || out.Run != wire.Unknown {
		return false
	}
	return out.Reason != wire.ReasonTargetFailed && out.Reason != wire.ReasonTargetDied
}

// safeToRetry reports whether running the request again is harmless.
func safeToRetry(st *State, out Outcome) bool {
	return st.Idempotent || out.Run == wire.NotRun
}

func refresh(st *State, now time.Time, stop Decision) Decision {
	if st.Refreshes >= maxRefreshes || remaining(st, now) < minRemaining {
		return stop
	}
	st.Refreshes++
	if st.Refreshes == 1 {
		return Decision{Action: Retry, SameTarget: true}
	}
	return Decision{Action: Retry, SameTarget: true, Delay: refreshDelay}
}

// reroute retries at another target. It does not use the budget, which protects
// targets from load, because a reroute follows a refusal that put no load on a
// target.
func reroute(st *State, now time.Time, stop Decision) Decision {
	delay := time.Duration(0)
	if st.Reroutes >= maxImmediateReroutes {
		delay = rerouteDelay
	}
	if st.Reroutes >= maxReroutes || remaining(st, now)-delay < minRemaining {
		return stop
	}
	st.Reroutes++
	return Decision{Action: Retry, Delay: delay}
}

// retryAfterDeath retries an idempotent request once, at a target with no other
// request in flight, because the request may have caused the crash.
func retryAfterDeath(st *State, now time.Time, rng Rand, stop Decision) Decision {
	st.Deaths++
	if st.Deaths > 1 && stop.Run != wire.NotRun {
		return stop
	}
	d := retryWithBackoff(st, now, rng, stop)
	d.IdleTarget = d.Action == Retry && stop.Run != wire.NotRun
	return d
}

func retryWithBackoff(st *State, now time.Time, rng Rand, stop Decision) Decision {
	if st.Attempts >= maxAttempts(st) {
		return stop
	}
	delay := backoff(st.Attempts, rng)
	if remaining(st, now)-delay < minRemaining {
		return stop
	}
	if st.Budget != nil && !st.Budget.Withdraw() {
		return stop
	}
	st.Attempts++
	return Decision{Action: Retry, Delay: delay}
}

func maxAttempts(st *State) int {
	if st.MaxAttempts > 0 {
		return st.MaxAttempts
	}
	return DefaultAttempts
}

func remaining(st *State, now time.Time) time.Duration { return st.Deadline.Sub(now) }

// backoff returns an exponential delay with full jitter. The first retry goes
// to another gate and is not delayed.
func backoff(attempts int, rng Rand) time.Duration {
	if attempts <= 1 {
		return 0
	}
	bound := min(baseBackoff<<min(attempts-2, 10), maxBackoff)
	return time.Duration(rng.Float64() * float64(bound))
}
