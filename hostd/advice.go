package hostd

import (
	"time"

	"github.com/gooseberryshed/gooseberryshed/gray"
	"github.com/gooseberryshed/gooseberryshed/retry"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// work is the distribution of the time that a route's requests take from here.
func (in *Ingress) work(r *routes.Route) gray.DurationModel {
	in.mu.Lock()
	defer in.mu.Unlock()
	return *in.workOf(r)
}

func (in *Ingress) workOf(r *routes.Route) *gray.DurationModel {
	w := in.works[r.Name]
	if w == nil {
		w = gray.NewDurationModel(r.Objective)
		in.works[r.Name] = w
	}
	return w
}

func (in *Ingress) learn(r *routes.Route, took time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.workOf(r).Observe(took)
}

// budget is this host's retry budget for a service, which grows with the
// requests that it sends there.
func (in *Ingress) budget(service string) *retry.Budget {
	in.mu.Lock()
	defer in.mu.Unlock()
	b := in.budgets[service]
	if b == nil {
		b = retry.NewBudget(budgetUse*in.set().Bounds.RetryRatio, ownReserve)
		in.budgets[service] = b
	}
	return b
}

// ownReserve is how many repeats a host may save up; it stays small against
// what the fleet may do in the budget's window.
const ownReserve = 1
