package hostd

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/changes"
	"github.com/gooseberryshed/gooseberryshed/departure"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/rollout"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// Target is a target that may be chosen, and the address of its gate.
type Target struct {
	// ID identifies the current incarnation of the target.
	ID         string `json:"target"`
	Service    string `json:"service"`
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Gate is the address of the host's gate, and Control is the address for
	// its datagrams.
	Gate    string `json:"gate"`
	Control string `json:"control"`
	Slots   int    `json:"slots"`
	// Departed marks a target that has left. Its row stays for a while, so that
	// its daemon knows it after a restart. Born is then when the target started,
	// in Unix milliseconds, or 0 if that is not known.
	Departed bool  `json:"departed,omitempty"`
	Born     int64 `json:"born,omitempty"`
	// Version is the version of the service that the target runs, or empty if its
	// daemon does not know it.
	Version string `json:"version,omitempty"`
	// LinkMbps is the bandwidth of the host's link in Mbit/s, or 0 if it is not known.
	LinkMbps int `json:"link_mbps,omitempty"`
}

// includes reports whether a departed target is the one with an id that started
// at born, or an earlier incarnation of it. A start that is not known does not
// distinguish incarnations.
func (t Target) includes(id string, born int64) bool {
	return t.Departed && departure.Record{Target: t.ID, Born: t.Born}.Includes(id, born)
}

// sameRow reports whether a row says the same as another one to write in its place,
// apart from when the target started. A daemon that does not know the target's version
// yet leaves the one in its row.
func (t Target) sameRow(other Target) bool {
	t.Born = other.Born
	if other.Version == "" {
		other.Version = t.Version
	}
	return t == other
}

// decodeTarget decodes a host's row. It returns an error for rows that were not
// written by a host.
func decodeTarget(key string, value []byte) (Target, error) {
	var t Target
	if err := json.Unmarshal(value, &t); err != nil {
		return t, errors.Wrap(err, "decode host row")
	}
	if t.Host != key || t.ID == "" || t.Service == "" || t.DataCentre == "" || t.Slots <= 0 || t.Slots > karpithaz.MaxSlots {
		return t, errors.New("host row: missing or invalid field")
	}
	for _, addr := range []string{t.Gate, t.Control} {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			return t, errors.Wrap(err, "decode host row")
		}
		if parsed.Port() == 0 {
			return t, errors.Errorf("host row: address %s has no port", addr)
		}
	}
	return t, nil
}

// View is an immutable snapshot of what a host knows.
type View struct {
	// Config is nil until a configuration has been read.
	Config *routes.Config
	// HostsLoaded is set once the hosts table has been read.
	HostsLoaded bool
	// HostCount is the number of hosts with a target.
	HostCount int
	evacuated map[string]bool
	byService map[string][]Target
	byHost    map[string]Target
	// departed are the hosts whose targets have left and not been replaced.
	departed map[string]Target
	names    []string
	// hostsByDataCentre are the hosts with a target, sorted.
	hostsByDataCentre map[string][]string
	// operatorVersion and hostsVersion are the versions of the latest changes
	// to the operators' table and to the hosts table.
	operatorVersion, hostsVersion uint64
	// hostVersions are the versions of the hosts' rows. They include rows
	// removed since historyStart.
	hostVersions map[string]uint64
	historyStart uint64
	// keptHosts are the hosts that the view shows otherwise than a restored store.
	keptHosts map[string]keptHost
	// operatorRows are the operators' rows, including those removed since
	// operatorHistoryStart.
	operatorRows         map[string]karpithaz.Row
	operatorHistoryStart uint64
	// configHistory holds the latest values of the configuration's row.
	configHistory changes.History
	// orders are the operators' roll-out orders by service.
	orders map[string]rollout.Order
	// unread is the operators' newest configuration if it could not be read, or nil.
	unread *unreadConfig
	// inUse are the versions of most targets of the services.
	inUse map[string]string
	// hostsChangedAt is when the set of hosts last changed.
	hostsChangedAt time.Time
}

// Evacuated reports whether a data centre is evacuated, so that its targets
// must not receive requests.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }

// Targets returns the targets of a service, sorted by host. The caller must not
// modify the slice.
func (v *View) Targets(service string) []Target { return v.byService[service] }

// TargetOf returns the target of a host.
func (v *View) TargetOf(host string) (Target, bool) {
	t, ok := v.byHost[host]
	return t, ok
}

// row returns the row of a host, also if its target has departed, and its version.
// The version is 0 if there is no row.
func (v *View) row(host string) (t Target, version uint64) {
	t, ok := v.byHost[host]
	if !ok {
		if t, ok = v.departed[host]; !ok {
			return t, 0
		}
	}
	return t, v.hostVersions[host]
}

// allHosts returns the hosts that have a row, also those whose targets have departed: they
// still take requests of callers.
func (v *View) allHosts() []string {
	return slices.AppendSeq(slices.Clone(v.names), maps.Keys(v.departed))
}

// hasDeparted reports whether the target of a host, with an id and a time of its
// start, has left.
func (v *View) hasDeparted(host, id string, born int64) bool {
	return v.departed[host].includes(id, born)
}

// hostNames returns the hosts with a target, sorted. The caller must not modify
// the slice.
func (v *View) hostNames() []string { return v.names }

// hostsIn returns the hosts of a data centre, sorted.
func (v *View) hostsIn(name string) []string { return slices.Clone(v.hostsByDataCentre[name]) }

// departedIn returns the departed targets of a data centre by host.
func (v *View) departedIn(name string) map[string]Target {
	out := map[string]Target{}
	for host, t := range v.departed {
		if t.DataCentre == name {
			out[host] = t
		}
	}
	return out
}

// revision returns the revision of the configuration in force, or 0.
func (v *View) revision() uint64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Revision
}

// Ready reports whether the host can serve requests.
func (v *View) Ready() bool { return v.Config != nil && v.HostsLoaded }

// newView returns a view. rows are those of all hosts, also of hosts whose targets
// have departed.
func newView(cfg *routes.Config, evacuated map[string]bool, rows map[string]Target, hostsLoaded bool, hostsChangedAt time.Time) *View {
	hosts, departed := map[string]Target{}, map[string]Target{}
	for host, t := range rows {
		if t.Departed {
			departed[host] = t
		} else {
			hosts[host] = t
		}
	}
	v := &View{
		Config:         cfg,
		HostsLoaded:    hostsLoaded,
		HostCount:      len(hosts),
		evacuated:      evacuated,
		byService:      map[string][]Target{},
		byHost:         hosts,
		inUse:          map[string]string{},
		departed:       departed,
		names:          slices.Sorted(maps.Keys(hosts)),
		hostsChangedAt: hostsChangedAt,

		hostsByDataCentre: map[string][]string{},
	}
	for _, host := range v.names {
		dc := hosts[host].DataCentre
		v.hostsByDataCentre[dc] = append(v.hostsByDataCentre[dc], host)
	}
	for _, t := range hosts {
		v.byService[t.Service] = append(v.byService[t.Service], t)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.Host, b.Host) })
	}
	for service := range v.byService {
		v.inUse[service] = v.versionInUse(service, "")
	}
	return v
}

// hasTarget reports whether a target is in the view.
func (v *View) hasTarget(target string) bool {
	for _, t := range v.byHost {
		if t.ID == target {
			return true
		}
	}
	return false
}
