// Package departure decides which hosts hold the departure of a target beside the store, and
// when enough of them do.
//
// It answers the restart of a daemon that is cut off from the store. The acknowledgement of
// a departure promises that no request reaches the target any more, also after a restart of
// the daemon that gave it, so the fact has to outlive the process. The daemon tells a few
// other hosts, acknowledges once the store has it or two of them have answered, in different
// data centres where there are any, and asks the same hosts when it starts, before it takes
// a heartbeat for news. They also know it if the store comes back from an older copy.
//
// The hosts are those of the highest rendezvous ranks, which changes of the fleet move
// little, taken from the data centres in turn. What was weighed: without an acknowledgement
// the target ends some seconds later by itself, which is safe, but its orders in progress end
// with it; telling every host costs a message per host and protects against no more than
// the restart of all that hold it; telling them only while the store is away saves eight
// datagrams a departure and loses what a restored store has lost. The store remains the
// place for good, and the hosts forget a departure after Retention.
package departure

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/quota"
)

const (
	// MaxHolders is the number of hosts that are told of a departure and asked after a
	// restart. Some of them may be down or cut off.
	MaxHolders = 8
	// minHolders is how many of them must hold it before it is acknowledged, and in how many
	// data centres, where the fleet has as many.
	minHolders = 2
	// Retention is how long a departure is held: longer than any target runs on after it.
	Retention = 2 * time.Minute
)

// Peer is another host.
type Peer struct {
	Host, DataCentre string
}

// Holders returns the hosts that hold the departures of a host's target, in the order of
// preference: those of the highest ranks, from the data centres in turn.
func Holders(host string, others []Peer) []Peer {
	byDataCentre := map[string][]string{}
	for _, p := range others {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p.Host)
	}
	var names []string
	for name, hosts := range byDataCentre {
		byDataCentre[name] = quota.RankOwners("departure "+host, hosts)
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	var out []Peer
	for i := 0; len(out) < min(MaxHolders, len(others)); i++ {
		for _, name := range names {
			if hosts := byDataCentre[name]; i < len(hosts) && len(out) < MaxHolders {
				out = append(out, Peer{hosts[i], name})
			}
		}
	}
	return out
}

// Enough reports whether a departure outlives the process that acknowledges it, if these of
// the holders hold it. With nobody else to hold it, it does not.
func Enough(holding, holders []Peer) bool {
	return len(holding) > 0 &&
		len(holding) >= min(minHolders, len(holders)) &&
		dataCentres(holding) >= min(minHolders, dataCentres(holders))
}

func dataCentres(peers []Peer) int {
	names := map[string]bool{}
	for _, p := range peers {
		names[p.DataCentre] = true
	}
	return len(names)
}

// Record is the departure of a target: its id, and when it started in Unix milliseconds by
// its own clock, or when it signed off if that is not known.
type Record struct {
	Target string `json:"t"`
	Born   int64  `json:"b,omitempty"`
}

// Includes reports whether the record is of the target with an id that started at born, or of
// a later start under that id. A start that is not known does not tell them apart.
func (r Record) Includes(id string, born int64) bool {
	return r.Target == id && (born == 0 || r.Born == 0 || born <= r.Born)
}

// Held are the departures that a host holds for others. It is safe for concurrent use.
type Held struct {
	mu     sync.Mutex
	byHost map[string][]heldRecord
}

// maxHeld bounds the departures held for one host. Its targets follow one another within
// seconds at most.
const maxHeld = 4

type heldRecord struct {
	Record
	until time.Time
}

// Put holds the departure of a host's target. Of too many, the one that was put first goes.
func (h *Held) Put(now time.Time, host string, r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byHost == nil {
		h.byHost = map[string][]heldRecord{}
	}
	list := slices.DeleteFunc(h.byHost[host], func(old heldRecord) bool { return old.Record == r || !now.Before(old.until) })
	list = append(list, heldRecord{r, now.Add(Retention)})
	h.byHost[host] = list[max(len(list)-maxHeld, 0):]
}

// Get returns the departures of a host's targets that are held.
func (h *Held) Get(now time.Time, host string) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Record
	for _, r := range h.byHost[host] {
		if now.Before(r.until) {
			out = append(out, r.Record)
		}
	}
	return out
}

// Sweep drops what is no longer held.
func (h *Held) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, list := range h.byHost {
		list = slices.DeleteFunc(list, func(r heldRecord) bool { return !now.Before(r.until) })
		if h.byHost[host] = list; len(list) == 0 {
			delete(h.byHost, host)
		}
	}
}
