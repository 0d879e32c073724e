package hostd

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/placing"
)

// balances holds the loads of services by data centre.
type balances struct {
	mu        sync.Mutex
	byService map[string]*placing.Balance
}

func newBalances() *balances { return &balances{byService: map[string]*placing.Balance{}} }

func (b *balances) of(service string) *placing.Balance {
	s := b.byService[service]
	if s == nil {
		s = &placing.Balance{}
		b.byService[service] = s
	}
	return s
}

// observe records a report on a target.
func (b *balances) observe(t Target, r placing.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(t.Service).Observe(time.Now(), t.DataCentre, r)
}

// spillChoice is a data centre that a request is offered to first, and the loads that
// decided it.
type spillChoice struct {
	to          string
	here, there float64
}

func (b *balances) choose(service, home string, remote []string, r placing.Request) spillChoice {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, s := time.Now(), b.of(service)
	to := s.Choose(now, home, remote, r, random{})
	return spillChoice{to, s.Load(now, home), s.Load(now, to)}
}

// maxSpillGatesTried is how many gates of another data centre are asked before those of
// the own one. They are expected to have room, and
// they count towards maxRemoteGatesTried.
const maxSpillGatesTried = 2

// spill returns the candidates of another data centre that the request is offered to
// before the local ones, or none if it is to stay.
func (a *attempt) spill(local, remote []placing.Candidate) []placing.Candidate {
	var dcs []string
	for _, c := range remote {
		if !c.Local && !c.PathFailed && !slices.Contains(dcs, c.DataCentre) {
			dcs = append(dcs, c.DataCentre)
		}
	}
	if len(local) == 0 || len(dcs) == 0 {
		return nil
	}
	home := a.e.in.settings().DataCentre
	choice := a.e.in.balances.choose(a.e.service, home, dcs, a.placementRequest())
	if choice.to == "" {
		return nil
	}
	var out []placing.Candidate
	for _, c := range remote {
		if c.DataCentre == choice.to && !c.PathFailed && len(out) < maxSpillGatesTried {
			out = append(out, c)
		}
	}
	a.e.in.metrics.Add("requests_spilt", 1)
	a.e.in.log.Decide("spilt", "id", a.e.caller.Attempt, "service", a.e.service, "from", home, "to", choice.to,
		"load_here", choice.here, "load_there", choice.there, "body_bytes", len(a.req.Body()))
	return out
}

// random implements placing.Rand with the global source.
type random struct{}

func (random) Float64() float64 { return rand.Float64() }
