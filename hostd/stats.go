package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// latency returns the distribution of a route's request times as seen by this
// ingress.
func (in *Ingress) latency(r *routes.Route) gray.DurationModel {
	in.mu.Lock()
	defer in.mu.Unlock()
	return *in.latencyLocked(r)
}

func (in *Ingress) latencyLocked(r *routes.Route) *gray.DurationModel {
	w := in.latencies[r.Name]
	if w == nil {
		w = gray.NewDurationModel(r.Objective)
		in.latencies[r.Name] = w
	}
	return w
}

func (in *Ingress) observeLatency(r *routes.Route, took time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.latencyLocked(r).Observe(took)
}

// retriesOf returns the retries of this host for a service, whose number grows with the
// requests sent to the service.
func (in *Ingress) retriesOf(service string) *serviceRetries {
	in.mu.Lock()
	defer in.mu.Unlock()
	r := in.retries[service]
	if r == nil {
		ratio := in.settings().Bounds.RetryBudgetRatio
		b := retry.NewBudget(retryBudgetShare*ratio, hostRetryReserve)
		calls := retry.NewBudget((1-retryBudgetShare)*ratio, hostRetryReserve)
		calls.Charge(hostRetryReserve, 0) // begins empty: the hosts' full budgets would add up to a window's
		r = &serviceRetries{budget: b, queue: retry.NewQueue(b), calls: calls}
		in.retries[service] = r
	}
	return r
}

// hostRetryReserve is how many retries a host may accumulate. It is small
// compared with the fleet's retry budget in one window.
const hostRetryReserve = 1
