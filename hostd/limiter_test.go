package hostd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// limiterFleet plays the limiters of a fleet in simulated time, with a view for
// each host and datagrams that take a millisecond.
type limiterFleet struct {
	workspace *routes.Workspace
	config    *routes.Config
	bounds    karpithaz.Bounds

	mu       sync.Mutex
	limiters map[string]*fleetLimiter
	views    map[string]*View
	// reaches reports whether datagrams pass between two hosts, and isolated
	// whether a host has lost most others, since cutAt.
	reaches  func(from, to string) bool
	isolates func(host string) bool
	cutAt    time.Time
	lastID   uint64
	sent     int
	granted  []time.Time
}

func newLimiterFleet(t *testing.T, w *routes.Workspace, hosts ...string) *limiterFleet {
	cfg, err := routes.New(routes.Document{Revision: 1, Workspaces: []routes.Workspace{*w}})
	assert.NilError(t, err)
	f := &limiterFleet{
		workspace: w,
		config:    cfg,
		bounds:    karpithaz.Bounds{RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20, RetryBudgetSlack: 50, RetryBudgetWindow: 10 * time.Second},
		limiters:  map[string]*fleetLimiter{},
		views:     map[string]*View{},
		reaches:   func(string, string) bool { return true },
		isolates:  func(string) bool { return false },
	}
	for _, host := range hosts {
		f.start(host, hosts, time.Now().Add(-time.Minute))
	}
	return f
}

// start starts a host that knows other hosts.
func (f *limiterFleet) start(host string, known []string, since time.Time) {
	f.mu.Lock()
	f.limiters[host] = newFleetLimiter(host, func() karpithaz.Bounds { return f.bounds }, func() *View { return f.view(host) },
		func(ctx context.Context, to string, q datagram) (datagram, error) { return f.query(ctx, host, to, q) },
		func() bool { return f.isolated(host) }, decisions.New(io.Discard), metrics.New())
	f.mu.Unlock()
	f.learn(host, known, since)
}

// learn gives a host a new view.
func (f *limiterFleet) learn(host string, known []string, since time.Time) {
	rows := map[string]Target{}
	for _, k := range known {
		rows[k] = Target{ID: "i-" + k, Service: "svc", Host: k, DataCentre: dataCentreOf(k), Gate: k, Control: k, Slots: 4}
	}
	v := newView(nil, nil, rows, true, since)
	v.Config = f.config
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views[host] = v
}

func (f *limiterFleet) view(host string) *View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.views[host]
}

func (f *limiterFleet) isolated(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolates(host) && time.Since(f.cutAt) > isolationDelay
}

// cut changes which hosts reach each other.
func (f *limiterFleet) cut(reaches func(from, to string) bool, isolates func(host string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reaches, f.isolates, f.cutAt = reaches, isolates, time.Now()
}

// query plays datagramConn.query.
func (f *limiterFleet) query(ctx context.Context, from, to string, q datagram) (datagram, error) {
	f.mu.Lock()
	f.lastID++
	q.ID = f.lastID
	f.mu.Unlock()
	answers := make(chan datagram, len(queryTimeouts))
	for _, timeout := range queryTimeouts {
		f.mu.Lock()
		if f.sent++; f.sent > maxModelDatagrams {
			f.mu.Unlock()
			break
		}
		dest, lost := f.limiters[to], !f.reaches(from, to)
		f.mu.Unlock()
		if dest != nil && !lost {
			go func() {
				time.Sleep(time.Millisecond)
				if q.Kind == queryVersions {
					answers <- datagram{Result: true}
					return
				}
				answers <- dest.answer(context.WithoutCancel(ctx), q)
			}()
		}
		select {
		case a := <-answers:
			return a, nil
		case <-ctx.Done():
			return datagram{}, ctx.Err()
		case <-time.After(timeout):
		}
	}
	return datagram{}, errNoAnswer
}

// send lets each host send requests of the workspace at a rate, until stop is
// closed.
func (f *limiterFleet) send(stop <-chan struct{}, rate float64, hosts []string) {
	for _, host := range hosts {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
				}
				go func() {
					f.mu.Lock()
					l := f.limiters[host]
					f.mu.Unlock()
					if ok, _, _ := l.Allow(context.Background(), f.workspace, 0); ok {
						f.mu.Lock()
						f.granted = append(f.granted, time.Now())
						f.mu.Unlock()
					}
				}()
			}
		}()
	}
}

// mostInWindow returns the largest number of tokens granted in any window of the
// platform's length, and the platform's bound.
func (f *limiterFleet) mostInWindow() (most int, bound float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.granted, time.Time.Compare)
	first := 0
	for i, at := range f.granted {
		for at.Sub(f.granted[first]) >= f.bounds.RateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	w := f.workspace
	return most, (w.Rate*f.bounds.RateWindow.Seconds()+w.Burst)*(1+f.bounds.RateOverage) + f.bounds.RateSlack
}

// isolationDelay is the time after which a host knows that it is cut off.
const isolationDelay = 2500 * time.Millisecond

// maxModelDatagrams stops a model in which queries multiply.
const maxModelDatagrams = 100_000

// dataCentreOf spreads the hosts of a model over three data centres.
func dataCentreOf(host string) string { return "dc-" + string('a'+(host[len(host)-1]-'0')%3) }

func hostNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("host-%02d", i)
	}
	return names
}

// A host joins, becomes the owner of a workspace's rate and is lost. The hosts
// learn of both at different times.
func TestWorkspaceRateHoldsWhileItsOwnerChanges(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &routes.Workspace{Name: fmt.Sprintf("ws-%d", seed), Rate: 46, Burst: 46}
				hosts := hostNames(20)
				joining := quota.RankOwners(queryRate+" "+w.Name, hosts)[0]
				others := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == joining })
				f := newLimiterFleet(t, w, others...)
				stop := make(chan struct{})
				f.send(stop, 10, others)
				time.Sleep(6 * time.Second)
				spread := func(known []string, to []string) {
					for _, host := range to {
						go func() {
							time.Sleep(rand.N(1200 * time.Millisecond))
							f.learn(host, known, time.Now())
						}()
					}
				}
				f.start(joining, others, time.Now())
				spread(hosts, hosts)
				time.Sleep(6 * time.Second)
				f.cut(func(from, to string) bool { return from != joining && to != joining }, func(host string) bool { return host == joining })
				time.Sleep(5 * time.Second)
				spread(others, others)
				time.Sleep(6 * time.Second)
				close(stop)
				time.Sleep(3 * time.Second) // queries under way end
				most, bound := f.mostInWindow()
				t.Logf("%d granted in a window, bound %.0f; %d datagrams for %d requests", most, bound, f.sent, 19*10*23)
				assert.Check(t, float64(most) <= bound)
				assert.Check(t, f.sent < maxModelDatagrams, "queries multiply")
			})
		})
	}
}

// The network is cut while a workspace sends at several times its rate on all
// hosts. Its requests stay within the rate, and most of those within it are
// served.
func TestWorkspaceRateHoldsInAPartition(t *testing.T) {
	twoDataCentres := slices.DeleteFunc(hostNames(6), func(h string) bool { return dataCentreOf(h) == "dc-c" })
	cases := []struct {
		name string
		// hosts are those of the fleet, 30 in three data centres if nil.
		hosts []string
		// minority are the hosts that lose the store and most others. They refuse
		// keyed requests once their proof is too old.
		minority func(owners []string) map[string]bool
		reaches  func(minority map[string]bool, from, to string) bool
		// connected is set if the minority keeps the store and its callers.
		connected bool
		// workspace reports whether a workspace with these owners is of the case.
		workspace func(owners []string) bool
		// served is the least share of the rate that is served throughout.
		served float64
	}{
		{
			name: "a third of the hosts is cut off with the first owner",
			minority: func(owners []string) map[string]bool {
				m := map[string]bool{owners[0]: true}
				for _, i := range rand.Perm(len(owners) - 2)[:9] {
					m[owners[i+2]] = true
				}
				return m
			},
			reaches: func(m map[string]bool, from, to string) bool { return m[from] == m[to] },
			served:  0.4,
		},
		{
			name: "two data centres are cut off from each other and a third reaches both",
			reaches: func(_ map[string]bool, from, to string) bool {
				a, b := dataCentreOf(from), dataCentreOf(to)
				return a == b || a == "dc-c" || b == "dc-c"
			},
			served: 0.9,
		},
		{
			name: "the data centre of the first owner is cut off and all keep the store",
			reaches: func(_ map[string]bool, from, to string) bool {
				return (dataCentreOf(from) == "dc-a") == (dataCentreOf(to) == "dc-a")
			},
			workspace: func(owners []string) bool { return dataCentreOf(owners[0]) == "dc-a" },
			served:    0.5,
		},
		{
			name: "another data centre is cut off and all keep the store",
			reaches: func(_ map[string]bool, from, to string) bool {
				return (dataCentreOf(from) == "dc-a") == (dataCentreOf(to) == "dc-a")
			},
			workspace: func(owners []string) bool {
				return dataCentreOf(owners[0]) != "dc-a" && dataCentreOf(owners[1]) != "dc-a"
			},
			served: 0.7,
		},
		{
			// Found by the soak's seed 845.
			name:      "the owners lose each other in a fleet of two data centres",
			hosts:     twoDataCentres,
			minority:  func(owners []string) map[string]bool { return map[string]bool{owners[0]: true, owners[1]: true} },
			reaches:   func(m map[string]bool, from, to string) bool { return from == to || !m[from] || !m[to] },
			connected: true,
			served:    0.9,
		},
	}
	for _, c := range cases {
		hosts := c.hosts
		if hosts == nil {
			hosts = hostNames(30)
		}
		for seed := range 10 {
			t.Run(fmt.Sprint(c.name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := &routes.Workspace{Name: fmt.Sprintf("ws-%d", seed), Rate: 46, Burst: 46}
					owners := quota.RankOwners(queryRate+" "+w.Name, hosts)
					for c.workspace != nil && !c.workspace(owners) {
						w.Name += "x"
						owners = quota.RankOwners(queryRate+" "+w.Name, hosts)
					}
					f := newLimiterFleet(t, w, hosts...)
					var minority map[string]bool
					if c.minority != nil {
						minority = c.minority(owners)
					}
					majority := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return minority[h] })
					stop, refuse := make(chan struct{}), make(chan struct{})
					if c.connected {
						majority = hosts
					} else {
						f.send(refuse, 6, slices.Collect(maps.Keys(minority)))
					}
					f.send(stop, 6*30/float64(len(hosts)), majority)
					time.Sleep(7 * time.Second)
					f.cut(func(from, to string) bool { return c.reaches(minority, from, to) }, func(host string) bool { return minority[host] && !c.connected })
					cutAt := time.Now()
					time.Sleep(4750 * time.Millisecond)
					close(refuse)
					time.Sleep(6 * time.Second)
					close(stop)
					time.Sleep(3 * time.Second) // queries under way end
					most, bound := f.mostInWindow()
					after := len(f.granted) - slices.IndexFunc(f.granted, cutAt.Before)
					share := float64(after) / (w.Rate * 10.75)
					t.Logf("%d granted in a window, bound %.0f; %.2f of the rate served during the cut; %d datagrams", most, bound, share, f.sent)
					assert.Check(t, float64(most) <= bound)
					assert.Check(t, share >= c.served)
				})
			})
		}
	}
}
