package rollout

import (
	"strconv"
	"time"
)

const (
	// finishShare is the part of the time to the deadline after which a good version
	// is completed. The rest is for outages near the deadline.
	finishShare = 0.75
	// suspectScore is the score at which something speaks against a version. The ramp then
	// waits for more answers, for at most suspectWaitShare of the whole time.
	suspectScore     = 2.5
	suspectWaitShare = 0.1
	// rampSteps is the number of steps of the ramp. Each lasts rampStepShare of the
	// whole time, and at least minRampStep: the hosts learn a step from the reports of
	// gates within about that time.
	rampSteps     = 4
	rampStepShare = 0.02
	minRampStep   = 250 * time.Millisecond
	// drainExtra is what the withdrawal takes beyond the time of the longest usual
	// request: a round of reports. drainShare bounds the whole.
	drainExtra = 600 * time.Millisecond
	drainShare = 0.25
	// minCanary is the shortest time between the first report of a new target and the
	// ramp, as a share of the whole time. Targets may appear late.
	minCanaryShare = 0.1
	// afterSuspectShare is how long the target that follows a suspect is observed.
	afterSuspectShare = 0.2
	// minCapacityShare is the number of reachable new targets that replace the old
	// ones, as a share of their number.
	minCapacityShare = 0.6
	// rollbackReserveShare is the time before the deadline at which a roll-out that is
	// not completed is rolled back, so that this is written in time.
	rollbackReserveShare = 0.04
	minRollbackReserve   = 400 * time.Millisecond
	// canaryOfferFactor is the ratio of the requests offered to a canary first to the
	// exposure share. The gate refuses what exceeds its slots and its allowance.
	canaryOfferFactor = 3
	maxCanaryPercent  = 50
	percent           = 100
	// usualQuantile is the part of the requests whose time is usual, and usualAnswers the
	// number of answers of a route that tell it: of 20 one outlier would decide, and the
	// ramp would start 2 s too early in a roll-out of 12 s.
	usualQuantile = 0.95
	usualAnswers  = 60
)

func formatOrder(order uint64) string { return strconv.FormatUint(order, 10) }

func (c *Controller) share(part float64) time.Duration {
	return time.Duration(part * float64(c.order.Duration))
}

// rampStep returns the duration of a step. The ramp of a roll-out that is late, after an
// outage, is as short as the reports of the gates allow.
func (c *Controller) rampStep() time.Duration {
	usual := max(c.share(rampStepShare), minRampStep)
	if s := c.state; s.RampMs != 0 && time.Duration(s.RampMs)*time.Millisecond+rampSteps*usual > c.share(finishShare) {
		return minRampStep
	}
	return usual
}

// drainTime returns how long the withdrawal of the old targets takes.
func (c *Controller) drainTime() time.Duration {
	longest := time.Duration(0)
	for _, t := range c.state.Old {
		if t.Latency.total() >= usualAnswers {
			longest = max(longest, t.Latency.quantile(usualQuantile))
		}
	}
	return min(longest+drainExtra, c.share(drainShare))
}

// first returns when a gate of the new version first reported.
func (c *Controller) first() time.Duration {
	return time.Duration(c.state.FirstMs) * time.Millisecond
}

// rampAt returns when the ramp starts if nothing speaks against the version.
func (c *Controller) rampAt() time.Duration {
	at := c.share(finishShare) - rampSteps*c.rampStep() - c.drainTime()
	if c.suspendedAt > 0 {
		at = max(at, c.suspendedAt+c.share(afterSuspectShare))
	}
	return max(at, c.first()+c.share(minCanaryShare))
}

// sharePercent returns the share of the requests that is offered to the new version
// first.
func (c *Controller) sharePercent(now time.Duration) int {
	switch c.durable.Phase {
	case Canary:
		return CanaryPercent(c.limits)
	case Ramp:
		steps := int((now-time.Duration(c.durable.RampMs)*time.Millisecond)/c.rampStep()) + 1
		return max(min(steps, rampSteps)*percent/rampSteps, 1)
	case Withdraw, Completed:
		return percent
	}
	return 0
}

// CanaryPercent returns the share of the requests that is offered to a canary first.
func CanaryPercent(l Limits) int {
	return min(max(int(canaryOfferFactor*l.Share*percent), 1), maxCanaryPercent)
}

// maxRouteBoost bounds by how much more often the requests of a rare route are offered.
const maxRouteBoost = 4

// RoutePercent returns the share of a route's requests that is offered to a canary first,
// where all routes together have a share percent. Rare routes have a higher one, so that a
// version that is bad on one of them alone shows it. seen are the requests by route.
func RoutePercent(share int, seen map[string]int, route string) int {
	total := 0
	for _, n := range seen {
		total += n
	}
	if total == 0 {
		return share
	}
	boost := float64(total) / float64(len(seen)) / float64(max(seen[route], 1))
	return min(int(float64(share)*min(max(boost, 1), maxRouteBoost)), percent)
}

// Advance decides on the phase. members are the targets of the service that have not
// left.
func (c *Controller) Advance(now time.Duration, members []Member) {
	c.members = members
	s := c.state
	if s.Phase.Final() || c.durable == nil {
		return
	}
	present := map[string]bool{}
	for _, m := range members {
		present[m.Host] = true
	}
	for host := range c.gates {
		if !present[host] {
			delete(c.gates, host)
		}
	}
	if why := s.verdict(c.order.Duration); why != "" {
		if !c.suspend(now, why) {
			c.rollBack(why)
			return
		}
	}
	if now >= c.order.Duration-max(c.share(rollbackReserveShare), minRollbackReserve) {
		c.rollBack("not completed in time, in phase " + s.Phase.String())
		return
	}
	if c.durable.Phase != s.Phase {
		return // the next phase follows only when this one is written
	}
	switch s.Phase {
	case Canary:
		c.addCanary(now)
		if s.From == s.Target { // the version is in use
			s.Phase, s.WithdrawMs = Withdraw, now.Milliseconds()
		}
		if s.Phase == Canary && c.state.FirstMs > 0 && now >= c.rampAt() && c.hasCapacity(now) &&
			(s.highestScore() < suspectScore || now >= c.rampAt()+c.share(suspectWaitShare)) {
			s.Phase, s.RampMs = Ramp, now.Milliseconds()
		}
	case Ramp:
		if now-time.Duration(s.RampMs)*time.Millisecond >= rampSteps*c.rampStep() && c.hasCapacity(now) {
			s.Phase, s.WithdrawMs = Withdraw, now.Milliseconds()
		}
	case Withdraw:
		if c.withdrawn() {
			s.Phase = Completed
		}
	}
}

// suspend sets aside the target that alone accounts for the bad answers, so that another
// one shows whether it is the target or the version that is bad. It returns false if the
// version is: with the second such target, or if there is no other one.
func (c *Controller) suspend(now time.Duration, why string) bool {
	s := c.state
	host := s.soleSuspect()
	if host == "" || len(s.Suspects) > 0 || len(c.newHosts()) < 2 || s.Phase == Withdraw {
		return false
	}
	s.Suspects, s.BadBy, s.Scores = append(s.Suspects, host), nil, Scores{}
	s.SuspectReason = why
	c.suspendedAt, c.usedAt = now, now
	return true
}

func (c *Controller) rollBack(why string) {
	c.state.Phase, c.state.Reason = RolledBack, why
}

// addCanary lets another target serve if the present ones do not use their allowances.
func (c *Controller) addCanary(now time.Duration) {
	if c.usedAt > 0 && now-c.usedAt >= idleCanary && c.canaries < maxCanaries {
		c.canaries++
		c.usedAt = now
	}
}

// hasCapacity reports whether enough new targets are reachable. Cold ones bear too few
// requests; they are waited for, for at most suspectWaitShare of the whole time and unless most
// old ones are cold as well, as after a restart of all.
func (c *Controller) hasCapacity(now time.Duration) bool {
	warm, cold, old, oldCold := 0, 0, 0, 0
	for _, m := range c.members {
		g := c.gates[m.Host]
		fresh := g != nil && now-g.seenAt < freshFor
		switch {
		case m.Version != c.state.Target:
			old++
			if fresh && g.cold {
				oldCold++
			}
		case fresh && g.cold:
			cold++
		case fresh:
			warm++
		}
	}
	if 2*oldCold > old || now >= c.rampAt()+c.share(suspectWaitShare) {
		warm += cold
	}
	return warm > 0 && float64(warm) >= minCapacityShare*float64(old)
}

// withdrawn reports whether every target of another version refuses and holds nothing.
// A gate that has confirmed that finds it in the row after a restart.
func (c *Controller) withdrawn() bool {
	for _, m := range c.members {
		if m.Version == c.state.Target {
			continue
		}
		if g := c.gates[m.Host]; g == nil || !g.confirmed {
			return false
		}
	}
	return true
}
