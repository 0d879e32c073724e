package storepoll

import "time"

const (
	// Readers is the number of readers of a data centre. Two allow for the loss
	// of one.
	Readers = 2
	// standbys is the number of hosts that replace readers without a proof. The
	// probability that the store refuses all readers and standbys, if it refuses
	// a third of the hosts, is about one in a thousand.
	standbys = 4
	// Ranked is the number of hosts of a data centre that others ask.
	Ranked = Readers + standbys
	// NoticeCandidates is the number of hosts of a data centre among which another
	// one looks for two that answer to a notice.
	NoticeCandidates = 2 * Ranked
	// StaleAge is the age of a reader's proof above which another one is asked.
	// A reader's own poll of the store returns every 1.5 s.
	StaleAge = 1700 * time.Millisecond
	// standbyAge is the age of the proofs of lower ranks at which the first
	// standby asks the store, and rankDelay the additional age for each further
	// rank.
	standbyAge = 2000 * time.Millisecond
	rankDelay  = 150 * time.Millisecond
	// MaxAge is the age of its own proof at which any other host may ask the
	// store. It leaves time for two calls before keyed requests must be refused.
	MaxAge = 2900 * time.Millisecond
	// othersPerTurn is the mean number of other hosts of a data centre that ask
	// the store in one poll interval.
	othersPerTurn = 2.0
)

// Host is what a host knows after it has asked its peers.
type Host struct {
	// Rank is the position of the host in its data centre, and Hosts the number
	// of hosts there.
	Rank, Hosts int
	// ProofAge is the age of its freshness proof, and LowerProofAge that of the
	// freshest proof of a host of lower rank.
	ProofAge, LowerProofAge time.Duration
	// LowerAnswered is set if any host of lower rank has answered, and PeersAnswered
	// if any peer has.
	LowerAnswered, PeersAnswered bool
}

const (
	// fetchSpreadPerHost is the time over which the requests of hosts for a change reach the
	// host that has given notice of it, per host of the data centre. It has some tenths of a
	// millisecond of a core for each; how the bytes are spread is decided by package spread.
	fetchSpreadPerHost = 2 * time.Millisecond
	maxFetchSpread     = 250 * time.Millisecond
)

// Notifies reports whether a host that has applied a change notifies others of it.
// external is set if it learned the change from the store or from another data centre.
func Notifies(rank, hosts int, external bool) bool { return external || IsReader(rank, hosts) }

// FetchSpread returns the time over which a host spreads its request for a change of
// which it has notice. Readers fetch at once, as other hosts learn from them.
func FetchSpread(rank, hosts int) time.Duration {
	if IsReader(rank, hosts) {
		return 0
	}
	return min(time.Duration(hosts)*fetchSpreadPerHost, maxFetchSpread)
}

// ActsAsReader reports whether a host reads the table of hosts and removes the rows of
// silent ones: the readers do, and a standby if no host of lower rank answers it. Otherwise
// the rows of readers that have all died would stay. lowerAnswered is whether one has
// answered in this turn.
func ActsAsReader(rank int, lowerAnswered bool) bool {
	return rank < Readers || rank < Ranked && !lowerAnswered
}

// IsReader reports whether the host keeps long polls at the store.
func IsReader(rank, hosts int) bool { return rank < Readers || hosts < Readers }

const (
	// pollInterval is the mean interval between polls of the readers, and
	// standbyPollInterval that of the standbys, which replace silent readers in much
	// less than the time in which a configuration must be in force.
	pollInterval        = 800 * time.Millisecond
	standbyPollInterval = 500 * time.Millisecond
)

// PollInterval returns the mean interval between a host's polls of the readers.
func PollInterval(rank int) time.Duration {
	if rank >= Readers && rank < Ranked {
		return standbyPollInterval
	}
	return pollInterval
}

// AsksStore reports whether a host asks the store now. r is uniform in [0, 1).
func AsksStore(h Host, r float64) bool {
	switch {
	case h.Rank < Readers:
		return h.ProofAge > MaxAge // its long poll has failed
	case h.Rank < Ranked:
		return !h.LowerAnswered || h.LowerProofAge > standbyAge+time.Duration(h.Rank-Readers)*rankDelay
	case !h.PeersAnswered:
		return true
	case h.ProofAge <= MaxAge:
		return false
	}
	return r < othersPerTurn/float64(max(h.Hosts-Ranked, 1))
}

const (
	// fleetStartDelay is the mean time after which a starting host reads the hosts
	// table if the whole fleet starts for the first time. Targets announce
	// themselves within a heartbeat interval or two.
	fleetStartDelay  = 2500 * time.Millisecond
	fleetStartSpread = time.Second
)

// FirstReadDelay returns how long a starting host waits before it reads the hosts
// table. r is uniform in [0, 1).
func FirstReadDelay(fleetStart bool, r float64) time.Duration {
	if !fleetStart {
		return 0
	}
	return fleetStartDelay + time.Duration((r-0.5)*float64(fleetStartSpread))
}

// WriteTimeout bounds a write of a host's row. The store lets writes wait for up to a
// second while it performs others, and a host that gave up earlier would write again
// what the store is about to write.
const WriteTimeout = 1600 * time.Millisecond

const (
	// minWriteBackoff is the shortest pause after a failed write. It doubles with
	// each failure up to maxWriteBackoff, unless the fleet needs a longer one.
	minWriteBackoff = 50 * time.Millisecond
	maxWriteBackoff = time.Second
	// writeRateShare is the share of the store's rate of writes that the hosts
	// which write their rows again may use together.
	writeRateShare = 0.6
)

// WriteBackoff returns the pause before a host writes its row again after a number
// of failures. Where hosts of the fleet write their rows at once, as after a loss of
// power, the store refuses most of them, and they return at the rate that it
// bears. writesPerSecond is that of the store, r uniform in [0, 1).
func WriteBackoff(failures, hosts int, writesPerSecond, r float64) time.Duration {
	pause := min(minWriteBackoff<<min(failures, 8), maxWriteBackoff)
	fleet := time.Duration(float64(hosts) / max(writeRateShare*writesPerSecond, 1) * float64(time.Second))
	return max(time.Duration(r*float64(max(pause, fleet))), minWriteBackoff)
}

// StartOrder returns the ranks in the order in which a starting host asks them for the
// configuration. It is random: where a whole data centre starts, the first reader could
// not serve all of its hosts at once, and those that have been served serve others.
func StartOrder(hosts int, perm func(n int) []int) []int { return perm(min(hosts, Ranked)) }

// Order returns the ranks in the order in which a host asks them in a turn: the
// readers take turns at being first, and so do the standbys after them.
func Order(turn, hosts int) []int {
	order := make([]int, 0, Ranked)
	for i := range Readers {
		order = append(order, (turn+i)%Readers)
	}
	for i := range standbys {
		order = append(order, Readers+(turn+i)%standbys)
	}
	kept := order[:0]
	for _, rank := range order {
		if rank < hosts {
			kept = append(kept, rank)
		}
	}
	return kept
}
