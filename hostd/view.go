package hostd

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/routes"
)

// Target is a target that may be chosen, and the gate that leads to it.
type Target struct {
	// ID names the present life of the target.
	ID         string `json:"target"`
	Service    string `json:"service"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Gate is the address of the host's gate, Control that of its datagrams.
	Gate    string `json:"gate"`
	Control string `json:"control"`
	Slots   int    `json:"slots"`
}

// decodeTarget reads a host's row. Rows of other writers fail.
func decodeTarget(key string, value []byte) (Target, error) {
	var t Target
	if err := json.Unmarshal(value, &t); err != nil {
		return t, errors.Wrap(err, "host row")
	}
	if t.Host != key || t.ID == "" || t.Service == "" || t.DataCentre == "" || t.Slots <= 0 {
		return t, errors.New("host row lacks a field")
	}
	for _, addr := range []string{t.Gate, t.Control} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return t, errors.Wrap(err, "host row")
		}
	}
	return t, nil
}

// View is what a host knows at one time. It is immutable.
type View struct {
	// Config is nil until a configuration was read.
	Config *routes.Config
	// KnowsHosts is set once the hosts' rows were read.
	KnowsHosts bool
	// Hosts is the number of hosts with a target.
	Hosts     int
	evacuated map[string]bool
	byService map[string][]Target
	byHost    map[string]Target
	names     []string
	// operatorChange and hostsChange are the versions of the last changes of the
	// operators' table and of the hosts.
	operatorChange, hostsChange uint64
	// hostVersions are those of the hosts' rows, of dropped ones too as far back
	// as horizon.
	hostVersions map[string]uint64
	horizon      uint64
	// hostsSince is when the set of hosts last changed.
	hostsSince time.Time
}

// Evacuated reports whether a data centre's targets are to get nothing.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }

// Targets lists the targets of a service, by host. The caller must not change
// the list.
func (v *View) Targets(service string) []Target { return v.byService[service] }

// TargetOf returns the target of a host.
func (v *View) TargetOf(host string) (Target, bool) {
	t, ok := v.byHost[host]
	return t, ok
}

// hostNames lists the hosts with a target, sorted. The caller must not change
// the list.
func (v *View) hostNames() []string { return v.names }

// inDataCentre lists the hosts of a data centre, sorted.
func (v *View) inDataCentre(name string) []string {
	var out []string
	for _, host := range v.names {
		if v.byHost[host].DataCentre == name {
			out = append(out, host)
		}
	}
	return out
}

// Ready reports whether requests can be served.
func (v *View) Ready() bool { return v.Config != nil && v.KnowsHosts }

func newView(cfg *routes.Config, evacuated map[string]bool, hosts map[string]Target, known bool, since time.Time) *View {
	v := &View{
		Config:     cfg,
		KnowsHosts: known,
		Hosts:      len(hosts),
		evacuated:  evacuated,
		byService:  map[string][]Target{},
		byHost:     hosts,
		names:      slices.Sorted(maps.Keys(hosts)),
		hostsSince: since,
	}
	for _, t := range hosts {
		v.byService[t.Service] = append(v.byService[t.Service], t)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.Host, b.Host) })
	}
	return v
}

// knows reports whether a target is in the view.
func (v *View) knows(target string) bool {
	for _, t := range v.byHost {
		if t.ID == target {
			return true
		}
	}
	return false
}
