package storepoll

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const turnTime = 800 * time.Millisecond

// playedHost is a host of the load player.
type playedHost struct {
	provenAt time.Duration
}

// play plays a data centre: the readers poll the store every 1.5 s, every host
// asks its peers once a turn. It returns the calls to the store and the oldest
// proof of any host within the last half of the time.
func play(seed uint64, hosts int, duration time.Duration, refuses func(rank int, at time.Duration) bool) (calls int, oldest time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	fleet := make([]playedHost, hosts)
	const tick = 50 * time.Millisecond
	next := make([]time.Duration, hosts)
	nextRead := make([]time.Duration, hosts)
	for i := range fleet {
		next[i] = time.Duration(rnd.Int64N(int64(turnTime)))
	}
	ask := func(rank int, at time.Duration) {
		calls++
		if !refuses(rank, at) {
			fleet[rank].provenAt = at
		}
	}
	for at := time.Duration(0); at < duration; at += tick {
		for rank := range fleet {
			if IsReader(rank, hosts) && at >= nextRead[rank] {
				ask(rank, at)
				nextRead[rank] = at + 1500*time.Millisecond
				if fleet[rank].provenAt != at {
					nextRead[rank] = at + 750*time.Millisecond
				}
			}
			if at < next[rank] {
				continue
			}
			next[rank] = at + turnTime/2 + time.Duration(rnd.Int64N(int64(turnTime)))
			lower := at
			for _, peer := range Order(int(at/turnTime), hosts) {
				if peer == rank {
					continue
				}
				if peer < rank {
					lower = min(lower, at-fleet[peer].provenAt)
				}
				fleet[rank].provenAt = max(fleet[rank].provenAt, fleet[peer].provenAt)
				if at-fleet[peer].provenAt < StaleAge {
					break
				}
			}
			h := Host{Rank: rank, Hosts: hosts, ProofAge: at - fleet[rank].provenAt, LowerProofAge: lower, LowerAnswered: true, PeersAnswered: true}
			if AsksStore(h, rnd.Float64()) {
				ask(rank, at)
			}
		}
		for _, h := range fleet {
			if at > duration/2 {
				oldest = max(oldest, at-h.provenAt)
			}
		}
	}
	return calls, oldest
}

// TestCallsDoNotGrowWithTheFleet plays a healthy store and an outage of 10 s.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	never := func(int, time.Duration) bool { return false }
	always := func(int, time.Duration) bool { return true }
	for _, c := range []struct {
		name    string
		refuses func(int, time.Duration) bool
	}{{"healthy", never}, {"store down", always}} {
		few, _ := play(1, 30, 10*time.Second, c.refuses)
		many, _ := play(1, 300, 10*time.Second, c.refuses)
		t.Logf("%s: %d calls by 30 hosts, %d by 300", c.name, few, many)
		assert.Assert(t, float64(many) <= 1.3*float64(few), "%s: %d calls by 30 hosts, %d by 300", c.name, few, many)
	}
}

// TestProofsStayFreshWhileTheStoreRefusesSomeHosts plays a store that turns a
// third of the hosts away, the readers among them. No host's proof may reach the
// age of 4.75 s at which it must refuse keyed requests.
func TestProofsStayFreshWhileTheStoreRefusesSomeHosts(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		refused := make([]bool, 60)
		for i := range refused {
			refused[i] = i < Readers || rnd.Float64() < 0.33
		}
		if !slices.Contains(refused[:Ranked], false) {
			continue // every ranked host is refused; another data centre has to help
		}
		calls, oldest := play(seed, 60, 20*time.Second, func(rank int, _ time.Duration) bool { return refused[rank] })
		t.Logf("seed %d: oldest %s, %d calls", seed, oldest, calls)
		assert.Assert(t, oldest < 4750*time.Millisecond, "seed %d: a proof is %s old after %d calls", seed, oldest, calls)
	}
}

func TestIsolatedHostAsks(t *testing.T) {
	h := Host{Rank: 40, Hosts: 60, ProofAge: MaxAge + 1}
	assert.Assert(t, AsksStore(h, 0.999))
	h.PeersAnswered = true
	assert.Assert(t, !AsksStore(h, 0.999))
	assert.Assert(t, AsksStore(h, 0.01))
}

func TestOrder(t *testing.T) {
	assert.DeepEqual(t, Order(0, 60), []int{0, 1, 2, 3, 4, 5})
	assert.DeepEqual(t, Order(1, 60), []int{1, 0, 3, 4, 5, 2})
	assert.DeepEqual(t, Order(0, 1), []int{0})
}

func TestNotices(t *testing.T) {
	cases := []struct {
		name        string
		rank, hosts int
		external    bool
		notifies    bool
		spread      time.Duration
	}{
		{"reader", 1, 60, false, true, 0},
		{"standby that asked the store", 3, 60, true, true, 120 * time.Millisecond},
		{"standby that learned from a reader", 3, 60, false, false, 120 * time.Millisecond},
		{"other host that learned from another data centre", 40, 60, true, true, 120 * time.Millisecond},
		{"large data centre", 90, 133, false, false, maxFetchSpread},
		{"single host", 0, 1, false, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Notifies(c.rank, c.hosts, c.external), c.notifies)
			assert.Equal(t, FetchSpread(c.rank, c.hosts), c.spread)
		})
	}
}

func TestFirstReadIsPutOffOnlyWhenTheFleetStarts(t *testing.T) {
	for _, r := range []float64{0, 0.5, 0.999} {
		assert.Equal(t, FirstReadDelay(false, r), time.Duration(0))
		delay := FirstReadDelay(true, r)
		assert.Assert(t, delay >= 1500*time.Millisecond && delay <= 3*time.Second, "%s", delay)
	}
}

// playConfigSpread plays the hosts of a data centre that all start without a
// configuration. A host serves one other at a time, and one that finds all others
// busy or without a configuration asks again in its next turn. It returns when the
// last host has the configuration.
func playConfigSpread(hosts int, serve, turn time.Duration, order func(rnd *rand.Rand) []int) time.Duration {
	const step = 5 * time.Millisecond
	rnd := rand.New(rand.NewPCG(uint64(hosts), 3))
	known, busyUntil := make([]time.Duration, hosts), make([]time.Duration, hosts)
	asks := make([]time.Duration, hosts)
	for i := range known {
		known[i] = time.Hour
		asks[i] = time.Duration(rnd.Int64N(int64(turn)))
	}
	known[0], known[1] = 0, 0 // the readers, from the store
	for now, left := time.Duration(0), hosts-Readers; ; now += step {
		for i := range hosts {
			if known[i] < time.Hour || asks[i] > now {
				continue
			}
			asks[i] = now + turn
			for _, rank := range order(rnd) {
				if known[rank] <= now && busyUntil[rank] <= now {
					busyUntil[rank] = now + serve
					known[i] = now + serve
					left--
					break
				}
			}
		}
		if left == 0 {
			return slices.Max(known)
		}
	}
}

// The load: all hosts of a data centre start at once, and a host takes 40 ms to
// send the configuration over its link.
func TestConfigurationSpreadsOverAStartingDataCentre(t *testing.T) {
	const serve, turn = 40 * time.Millisecond, 200 * time.Millisecond
	for _, hosts := range []int{9, 60, 130} {
		atOnce := func(*rand.Rand) []int { return Order(0, hosts)[:1] }
		spread := func(rnd *rand.Rand) []int { return StartOrder(hosts, rnd.Perm) }
		one := playConfigSpread(hosts, serve, turn, atOnce)
		all := playConfigSpread(hosts, serve, turn, spread)
		t.Logf("%d hosts: %s from the first reader, %s from all ranked hosts", hosts, one, all)
		assert.Assert(t, all <= max(one/2, 2*turn+serve), "%s", all)
	}
}

func TestSilentReadersAreReplacedAtOnce(t *testing.T) {
	const young = 100 * time.Millisecond
	cases := []struct {
		name string
		h    Host
		asks bool
	}{
		{"first standby, readers silent", Host{Rank: 2, ProofAge: young, LowerProofAge: time.Hour, PeersAnswered: true}, true},
		{"second standby, the first one answers", Host{Rank: 3, ProofAge: young, LowerProofAge: young, LowerAnswered: true, PeersAnswered: true}, false},
		{"last standby, all others silent", Host{Rank: 5, ProofAge: young, LowerProofAge: time.Hour}, true},
		{"other host, nobody answers", Host{Rank: 40, ProofAge: young, LowerProofAge: time.Hour}, true},
		{"other host, another data centre answers", Host{Rank: 40, ProofAge: young, LowerProofAge: young, LowerAnswered: true, PeersAnswered: true}, false},
		{"reader, the other one silent", Host{Rank: 0, ProofAge: young, LowerProofAge: time.Hour}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.h.Hosts = 60
			assert.Equal(t, AsksStore(c.h, 0.999), c.asks)
		})
	}
}

func TestStandbyActsAsReaderOnlyInPlaceOfSilentOnes(t *testing.T) {
	for _, c := range []struct {
		rank          int
		lowerAnswered bool
		acts          bool
	}{
		{0, false, true}, {1, true, true}, {Readers, true, false}, {Readers, false, true}, {Ranked - 1, false, true}, {Ranked, false, false},
	} {
		assert.Equal(t, ActsAsReader(c.rank, c.lowerAnswered), c.acts, "%+v", c)
	}
}
