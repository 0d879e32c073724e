package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/gooseberryshed/gooseberryshed/limit"
	"github.com/gooseberryshed/gooseberryshed/member"
)

// An address is skipped for backoffPeriod after backoffThreshold consecutive
// failures. A single failure is tolerated, because it may be caused by a stale
// connection where a new one works.
const (
	backoffPeriod    = time.Second
	backoffThreshold = 2
)

// maxFailureEntries bounds the number of addresses with failure counts.
const maxFailureEntries = 4096

// maxCandidates is the number of daemons that may acquire a row. Other daemons
// never read it.
const maxCandidates = 2

// ownerReply is a reply that may redirect the caller to another daemon.
type ownerReply interface {
	redirect() (notOwner bool, hint *limit.Owner)
}

func (r *takeReply) redirect() (bool, *limit.Owner) { return r.NotOwner, r.Owner }
func (r *giveReply) redirect() (bool, *limit.Owner) { return r.NotOwner, r.Owner }

// router finds the address of a row's owner.
type router struct {
	opts Options

	mu           sync.Mutex
	owners       map[rowID]string
	backoffUntil map[string]time.Time
	// failures counts consecutive failures per address.
	failures map[string]int
}

func newRouter(opts Options) *router {
	return &router{
		opts:         opts,
		owners:       map[rowID]string{},
		backoffUntil: map[string]time.Time{},
		failures:     map[string]int{},
	}
}

// route returns the next address to call. It skips addresses that were tried
// already or have failed recently.
func (r *router) route(row rowID, tried map[string]bool, now time.Time) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr, ok := r.owners[row]; ok && r.usable(addr, tried, now) {
		return addr, true
	}
	for _, d := range candidates(r.opts, row) {
		if d.RPCAddr != r.opts.Self.RPCAddr && r.usable(d.RPCAddr, tried, now) {
			return d.RPCAddr, true
		}
	}
	return "", false
}

func (r *router) usable(addr string, tried map[string]bool, now time.Time) bool {
	return !tried[addr] && !now.Before(r.backoffUntil[addr])
}

// recordOwner stores the owner of a row.
func (r *router) recordOwner(row rowID, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[row] = addr
	delete(r.backoffUntil, addr)
	delete(r.failures, addr)
}

// recordFailure counts a call that failed or was answered too late.
func (r *router) recordFailure(addr string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[addr]++
	if r.failures[addr] >= backoffThreshold {
		r.backoffUntil[addr] = now.Add(backoffPeriod)
	}
	if len(r.failures) > maxFailureEntries {
		clear(r.failures)
		clear(r.backoffUntil)
	}
}

// recordRedirect records that a daemon is not the owner, and the owner that it
// named, if any.
func (r *router) recordRedirect(row rowID, addr string, hint *limit.Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failures, addr)
	if r.owners[row] == addr {
		delete(r.owners, row)
	}
	if hint != nil && hint.Addr != addr {
		r.owners[row] = hint.Addr
	}
}

// candidates returns the daemons that may acquire a row, in order of
// preference: those serving in its data centre, or in any if there are none.
func candidates(opts Options, row rowID) []member.Daemon {
	byHost := map[string]member.Daemon{opts.Self.Host: opts.Self}
	for _, d := range opts.Peers() {
		if d.Host != opts.Self.Host && d.State == member.StateServing {
			byHost[d.Host] = d
		}
	}
	var local, all []string
	for host, d := range byHost {
		all = append(all, host)
		if d.DataCentre == row.DataCentre {
			local = append(local, host)
		}
	}
	if len(local) == 0 {
		local = all
	}
	first := rowID{Holder: limit.Holder{DataCentre: row.DataCentre}, Shard: row.Shard}
	order := limit.Candidates(local, first.key())
	order = order[:min(len(order), maxCandidates)]
	// The replicas of a data centre share the candidates and prefer different
	// ones, so that their owners are on different hosts.
	shift := row.Replica % max(len(order), 1)
	order = append(slices.Clone(order[shift:]), order[:shift]...)
	daemons := make([]member.Daemon, 0, len(order))
	for _, host := range order {
		daemons = append(daemons, byHost[host])
	}
	return daemons
}
