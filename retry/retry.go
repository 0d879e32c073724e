package retry

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

// Action is what to do next.
type Action int

const (
	// Stop ends the request with the decision's refusal.
	Stop Action = iota
	// Retry makes another attempt after the decision's delay.
	Retry
	// Settle asks the gate what became of the attempt and calls Next again
	// with the settled state.
	Settle
)

// String names the action.
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
	// maxRefreshes bounds the free attempts that only bring an epoch or a
	// configuration up to date.
	maxRefreshes = 4
	// maxReroutes bounds the free attempts after refusals that cost no target
	// anything; after freeMoves of them the request waits for news of members.
	maxReroutes  = 8
	maxImmediateReroutes = 3
	// rerouteDelay is the wait for news of members.
	rerouteDelay = 50 * time.Millisecond
	// refreshDelay lets a gate catch up with the configuration.
	refreshDelay = 30 * time.Millisecond
	// minRemaining is the least time worth another attempt.
	minRemaining = 20 * time.Millisecond
	baseBackoff  = 10 * time.Millisecond
	maxBackoff   = 250 * time.Millisecond
)

// State is the progress of one request. The ingress keeps it and passes it to
// Next, which updates the counts.
type State struct {
	Idempotent bool
	// Deadline is when the whole request must be answered.
	Deadline time.Time
	// MaxAttempts defaults to DefaultAttempts.
	MaxAttempts int
	// Attempts counts those made; the ingress starts it at 1.
	Attempts int
	// Refreshes counts the free attempts.
	Refreshes int
	// Moves counts the free attempts at other targets.
	Moves int
	// Deaths counts targets that died with this request in flight.
	Deaths int
	// Budget is the service's.
	Budget *Budget
}

// Outcome is the failure of an attempt.
type Outcome struct {
	Reason wire.Reason
	Run    wire.RunState
	// Settled tells that Run is the result of a settlement.
	Settled bool
}

// Decision is what follows.
type Decision struct {
	Action Action
	// After is the delay of a retry.
	After time.Duration
	// SameTarget allows the target of the last attempt again: nothing was
	// wrong with it.
	SameTarget bool
	// Alone asks for a target with no other request in flight.
	Alone bool
	// Run is what the caller is told when the action is Stop.
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

// reportedRunState is the run state that a caller may be told.
func reportedRunState(out Outcome) wire.RunState {
	if out.Run == wire.NotRun {
		return wire.NotRun
	}
	return wire.Unknown
}

// needsSettlement holds for a non-idempotent attempt that nobody has yet
// accounted for.
func needsSettlement(st *State, out Outcome) bool {
	if st.Idempotent || out.Settled || out.Run != wire.Unknown {
		return false
	}
	return out.Reason != wire.ReasonTargetFailed && out.Reason != wire.ReasonTargetDied
}

// safeToRetry holds when another run does no harm.
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
	return Decision{Action: Retry, SameTarget: true, After: refreshDelay}
}

// reroute goes to another target. It takes nothing from the budget, because what
// the budget protects is the targets.
func reroute(st *State, now time.Time, stop Decision) Decision {
	delay := time.Duration(0)
	if st.Moves >= maxImmediateReroutes {
		delay = rerouteDelay
	}
	if st.Moves >= maxReroutes || remaining(st, now)-delay < minRemaining {
		return stop
	}
	st.Moves++
	return Decision{Action: Retry, After: delay}
}

// retryAfterDeath tries an idempotent request once more, beside no other, as it may
// be the one that crashes its targets.
func retryAfterDeath(st *State, now time.Time, rng Rand, stop Decision) Decision {
	st.Deaths++
	if st.Deaths > 1 && stop.Run != wire.NotRun {
		return stop
	}
	d := retryWithBackoff(st, now, rng, stop)
	d.Alone = d.Action == Retry && stop.Run != wire.NotRun
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
	return Decision{Action: Retry, After: delay}
}

func maxAttempts(st *State) int {
	if st.MaxAttempts > 0 {
		return st.MaxAttempts
	}
	return DefaultAttempts
}

func remaining(st *State, now time.Time) time.Duration { return st.Deadline.Sub(now) }

// backoff is exponential with full jitter. The first retry goes to another
// gate and does not wait.
func backoff(attempts int, rng Rand) time.Duration {
	if attempts <= 1 {
		return 0
	}
	bound := min(baseBackoff<<min(attempts-2, 10), maxBackoff)
	return time.Duration(rng.Float64() * float64(bound))
}
