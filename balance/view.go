package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryshed/gooseberryshed/member"
)

// Defaults of Input.
const (
	// DefaultLocalSubset is the maximum number of hosts of a service that an
	// ingress uses in its own data centre.
	DefaultLocalSubset = 12
	// DefaultRemoteSubset is the same for all other data centres together; it
	// is divided evenly among them, with at least one host in each.
	DefaultRemoteSubset = 8
	// DefaultRamp is the time in which the traffic of a returning data centre
	// rises to its full share.
	DefaultRamp = 30 * time.Second
)

// DataCentre is the configured state of a data centre.
type DataCentre struct {
	Name   string
	Region string
	// Drained excludes all targets of the data centre.
	Drained bool
	// RestoredAt is when the data centre returned to service; zero means that
	// its ramp-up has ended.
	RestoredAt time.Time
}

// Input holds the data from which a View is built.
type Input struct {
	// Host and DataCentre locate the ingress.
	Host       string
	DataCentre string
	Daemons    []member.Daemon
	// Unreachable lists the hosts that the membership protocol considers
	// unreachable.
	Unreachable []string
	// Ejected lists target IDs as returned by eject.Select.
	Ejected     []string
	DataCentres []DataCentre
	// LocalSubset and RemoteSubset default to DefaultLocalSubset and
	// DefaultRemoteSubset.
	LocalSubset  int
	RemoteSubset int
	// Ramp defaults to DefaultRamp.
	Ramp time.Duration
	// Loads holds the tracked loads of the targets.
	Loads *LoadTracker
}

// View is an immutable set of targets to choose from. One is built for each
// snapshot of membership and configuration.
type View struct {
	services map[string]*service
	ids      map[string]struct{}
	ramp     time.Duration
}

// candidate is a target that may be chosen.
type candidate struct {
	id    string
	host  string
	limit int
	load  *TargetLoad
	// degraded marks a target in use whose outlier score is above zero.
	degraded bool
}

// dcGroup holds the candidates of one service in one data centre.
type dcGroup struct {
	restoredAt time.Time
	candidates []candidate
}

type service struct {
	local        dcGroup
	sameRegion   []dcGroup // other data centres of the same region
	otherRegions []dcGroup
	ejected      []candidate
	// ingresses is the number of ingresses that share the rate of trial requests
	// to ejected targets.
	ingresses int
}

func NewView(in Input) *View {
	in = withDefaults(in)
	targets := 0
	for _, d := range in.Daemons {
		targets += len(d.Targets)
	}
	b := builder{
		in:          in,
		view:        &View{services: map[string]*service{}, ids: make(map[string]struct{}, targets), ramp: in.Ramp},
		ejected:     toSet(in.Ejected),
		unreachable: toSet(in.Unreachable),
		dataCentres: map[string]DataCentre{},
	}
	for _, dc := range in.DataCentres {
		b.dataCentres[dc.Name] = dc
	}
	b.build()
	return b.view
}

// HasTarget reports whether the view contains the target.
func (v *View) HasTarget(id string) bool {
	_, ok := v.ids[id]
	return ok
}

// HostCount returns the number of distinct hosts to which the view can forward.
func (v *View) HostCount() int {
	hosts := map[string]struct{}{}
	for _, s := range v.services {
		for _, g := range s.groups() {
			for _, c := range g.candidates {
				hosts[c.host] = struct{}{}
			}
		}
	}
	return len(hosts)
}

func (s *service) groups() []dcGroup {
	all := []dcGroup{s.local}
	all = append(all, s.sameRegion...)
	return append(all, s.otherRegions...)
}

func withDefaults(in Input) Input {
	in.LocalSubset = cmp.Or(in.LocalSubset, DefaultLocalSubset)
	in.RemoteSubset = cmp.Or(in.RemoteSubset, DefaultRemoteSubset)
	in.Ramp = cmp.Or(in.Ramp, DefaultRamp)
	if in.Loads == nil {
		in.Loads = &LoadTracker{}
	}
	return in
}

func toSet(names []string) map[string]struct{} {
	set := make(map[string]struct{}, len(names))
	for _, n := range names {
		set[n] = struct{}{}
	}
	return set
}

type builder struct {
	in             Input
	view           *View
	ejected        map[string]struct{}
	unreachable    map[string]struct{}
	dataCentres    map[string]DataCentre
	servingDaemons int
	remotePerDC    int
}

// ranked is a daemon with its rendezvous hash for this ingress.
type ranked struct {
	d    *member.Daemon
	rank uint64
}

func (b *builder) build() {
	byDC := map[string][]ranked{}
	for i := range b.in.Daemons {
		d := &b.in.Daemons[i]
		for _, t := range d.Targets {
			b.view.ids[t.ID] = struct{}{}
		}
		if !b.usable(d) {
			continue
		}
		b.servingDaemons++
		byDC[d.DataCentre] = append(byDC[d.DataCentre], ranked{d, rendezvous(b.in.Host, d.Host)})
	}
	b.remotePerDC = max(1, b.in.RemoteSubset/max(1, len(byDC)-1))
	names := make([]string, 0, len(byDC))
	for name := range byDC {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.addDataCentre(name, byDC[name])
	}
	for _, s := range b.view.services {
		s.ingresses = b.servingDaemons
	}
}

func (b *builder) usable(d *member.Daemon) bool {
	if d.State != member.StateServing {
		return false
	}
	if _, unreachable := b.unreachable[d.Host]; unreachable && d.Host != b.in.Host {
		return false
	}
	return !b.dataCentres[d.DataCentre].Drained
}

func (b *builder) addDataCentre(name string, daemons []ranked) {
	slices.SortFunc(daemons, func(x, y ranked) int {
		if c := cmp.Compare(y.rank, x.rank); c != 0 {
			return c
		}
		return cmp.Compare(x.d.Host, y.d.Host)
	})
	maxHosts := b.remotePerDC
	if name == b.in.DataCentre {
		maxHosts = b.in.LocalSubset
	}
	subsets := map[string]*subset{}
	for _, r := range daemons {
		b.addHost(r.d, subsets, maxHosts)
	}
	services := make([]string, 0, len(subsets))
	for svc := range subsets {
		services = append(services, svc)
	}
	slices.Sort(services)
	for _, svc := range services {
		b.addGroup(svc, name, subsets[svc].dcGroup)
	}
}

// subset is the part of a service's hosts in one data centre that the ingress
// uses.
type subset struct {
	dcGroup
	// hostCount is the number of hosts in the subset; lastHost is the one added
	// last.
	hostCount int
	lastHost  *member.Daemon
}

// admit reports whether a target of host d may be added to the subset. It counts
// each host once.
func (s *subset) admit(d *member.Daemon, maxHosts int) bool {
	if s.lastHost == d {
		return true
	}
	if s.hostCount >= maxHosts {
		return false
	}
	s.hostCount++
	s.lastHost = d
	return true
}

// addHost adds the targets of a host to the subsets that are not yet full.
func (b *builder) addHost(d *member.Daemon, subsets map[string]*subset, maxHosts int) {
	for _, t := range d.Targets {
		if t.State != member.TargetReady {
			continue
		}
		sub := subsets[t.Service]
		if sub == nil {
			sub = &subset{dcGroup: dcGroup{restoredAt: b.dataCentres[d.DataCentre].RestoredAt}}
			subsets[t.Service] = sub
		}
		_, ejected := b.ejected[t.ID]
		if ejected && sub.hostCount < maxHosts {
			s := b.service(t.Service)
			s.ejected = append(s.ejected, b.candidate(d, t))
		}
		if !ejected && sub.admit(d, maxHosts) {
			sub.candidates = append(sub.candidates, b.candidate(d, t))
		}
	}
}

func (b *builder) candidate(d *member.Daemon, t member.Target) candidate {
	return candidate{
		id:       t.ID,
		host:     d.Host,
		limit:    capacity(t),
		load:     b.in.Loads.Get(t.ID),
		degraded: t.Score > 0,
	}
}

func (b *builder) service(name string) *service {
	s := b.view.services[name]
	if s == nil {
		s = &service{}
		b.view.services[name] = s
	}
	return s
}

func (b *builder) addGroup(svc, dc string, g dcGroup) {
	s := b.service(svc)
	switch {
	case dc == b.in.DataCentre:
		s.local = g
	case b.dataCentres[dc].Region == b.dataCentres[b.in.DataCentre].Region:
		s.sameRegion = append(s.sameRegion, g)
	default:
		s.otherRegions = append(s.otherRegions, g)
	}
}

// capacity is the current concurrency limit of a target.
func capacity(t member.Target) int {
	if t.Limit > 0 {
		return min(t.Limit, max(t.Slots, 1))
	}
	return max(t.Slots, 1)
}

// rendezvous is the hash weight of the pair (ingress, host).
func rendezvous(ingress, host string) uint64 {
	return xxhash.Sum64String(ingress + "\x00" + host)
}
