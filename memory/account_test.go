package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func connect(t *testing.T, a *Account, now time.Time) *Peer {
	t.Helper()
	p, victims, err := a.Connect(now, FromCaller, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(victims), 0)
	return p
}

// hold gives a peer a lease of n bytes whose body is moving.
func hold(t *testing.T, p *Peer, now time.Time, n int64) *Lease {
	t.Helper()
	p.Served()
	p.Begin(now)
	l := p.Lease()
	_, err := l.Grow(now, n)
	assert.NilError(t, err)
	return l
}

// Guards against closing a sender that makes progress, or one that has just begun, for one
// that is slower.
func TestSlowestIsClosedFirst(t *testing.T) {
	const mib = 1 << 20
	a := NewAccount(Limits{Bytes: 4 * mib, LargeBytes: 4 * mib, Connections: 10, CallerConnections: 10})
	slowest, slow, fast, young := connect(t, a, epoch), connect(t, a, epoch), connect(t, a, epoch), connect(t, a, epoch)
	for _, p := range []*Peer{slowest, slow, fast} {
		hold(t, p, epoch, mib)
	}
	now := epoch.Add(2 * MinAge)
	hold(t, young, now.Add(-MinAge/2), 900<<10)
	slowest.Moved(now, 1)
	slow.Moved(now, 1000)
	fast.Moved(now, 2*SlowRate*3)

	claim := a.Lease()
	victims, err := claim.Grow(now, 400<<10)
	assert.NilError(t, err)
	assert.DeepEqual(t, len(victims), 1)
	assert.Assert(t, victims[0] == slowest)
	victims, err = claim.Grow(now, 10<<10)
	assert.NilError(t, err, "the next claim counts on what is leaving")
	assert.Equal(t, len(victims), 0)
}

// Guards against closing connections for a claim that would not fit even then.
func TestNobodyIsClosedInVain(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 10, CallerConnections: 10})
	p := connect(t, a, epoch)
	hold(t, p, epoch, 100<<10)
	rest := a.Lease()
	_, err := rest.Grow(epoch, 800<<10)
	assert.NilError(t, err)
	used := a.Stats().Used
	victims, err := a.Lease().Grow(epoch.Add(time.Minute), 500<<10)
	assert.ErrorIs(t, err, ErrShort)
	assert.Equal(t, len(victims), 0)
	assert.Equal(t, a.Stats().Used, used)
}

// Guards against closing callers that keep an idle connection, which is inside the limits.
func TestIdleConnectionsAreNeverClosed(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 3, CallerConnections: 3})
	now := epoch
	for range 3 {
		connect(t, a, now).Served()
	}
	now = now.Add(time.Hour)
	_, victims, err := a.Connect(now, FromCaller, nil)
	assert.ErrorIs(t, err, ErrShort)
	assert.Equal(t, len(victims), 0)
	victims, err = a.Lease().Grow(now, 1<<20)
	assert.ErrorIs(t, err, ErrShort)
	assert.Equal(t, len(victims), 0)
}

// Guards against connections that never send a request and keep others out.
func TestSilentConnectionMakesRoomForANewOne(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 2, CallerConnections: 2})
	connect(t, a, epoch).Served()
	silent := connect(t, a, epoch)
	_, victims, err := a.Connect(epoch.Add(MinAge/2), FromCaller, nil)
	assert.ErrorIs(t, err, ErrShort)
	assert.Equal(t, len(victims), 0)
	_, victims, err = a.Connect(epoch.Add(MinAge), FromCaller, nil)
	assert.NilError(t, err)
	assert.Assert(t, len(victims) == 1 && victims[0] == silent)
}

// Guards against large bodies that keep small requests out.
func TestSmallClaimsHaveTheirPlace(t *testing.T) {
	a := NewAccount(LimitsFor(100<<20, 4100))
	large := a.Lease()
	for {
		if _, err := large.Grow(epoch, SmallBytes); err != nil {
			break
		}
	}
	_, err := a.Lease().Grow(epoch, SmallBytes+1)
	assert.ErrorIs(t, err, ErrShort)
	_, err = a.Lease().Grow(epoch, SmallBytes)
	assert.NilError(t, err)
}

// Guards against memory that is returned twice, never, or beyond the bound, whatever the
// order in which connections are closed and leases released.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, LargeBytes: 800 << 10, Connections: 5, CallerConnections: 5}
		a := NewAccount(limits)
		now := epoch
		type held struct {
			l     *Lease
			users int
		}
		var peers []*Peer
		var leases []*held
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				if p, _, err := a.Connect(now, FromCaller, nil); err == nil {
					peers = append(peers, p)
				}
			case 1:
				if len(peers) > 0 {
					i := rapid.IntRange(0, len(peers)-1).Draw(t, "peer")
					peers[i].Disconnect()
					peers = append(peers[:i], peers[i+1:]...)
				}
			case 2:
				l := a.Lease()
				if len(peers) > 0 && rapid.Bool().Draw(t, "of a peer") {
					p := peers[rapid.IntRange(0, len(peers)-1).Draw(t, "peer")]
					p.Begin(now)
					l = p.Lease()
				}
				leases = append(leases, &held{l, 1})
			default:
				if len(leases) == 0 {
					continue
				}
				h := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
				switch rapid.IntRange(0, 3).Draw(t, "use") {
				case 0:
					h.l.Retain()
					h.users++
				case 1:
					if h.users > 0 {
						h.l.Release()
						h.users--
					}
				case 2:
					if len(peers) > 0 && h.users > 0 {
						h.l.Attach(peers[rapid.IntRange(0, len(peers)-1).Draw(t, "peer")])
					}
				default:
					if h.users > 0 {
						h.l.Grow(now, int64(rapid.IntRange(1, 300<<10).Draw(t, "bytes"))) //nolint:errcheck // may be refused
					}
				}
			}
			sum := int64(len(peers)) * ConnectionBytes
			for _, h := range leases {
				sum += h.l.Bytes()
			}
			if s := a.Stats(); s.Used != sum || s.Peak > limits.Bytes+limits.Bytes/leavingShare {
				t.Fatalf("used %d, held %d, peak %d", s.Used, sum, s.Peak)
			}
			if a.leaving < 0 || a.leaving > a.used {
				t.Fatalf("leaving %d of %d", a.leaving, a.used)
			}
		}
		for _, h := range leases {
			for ; h.users > 0; h.users-- {
				h.l.Release()
			}
		}
		for _, p := range peers {
			p.Disconnect()
		}
		if a.used != 0 || a.leaving != 0 || a.all != (count{}) || a.callers != (count{}) {
			t.Fatalf("used %d, leaving %d, closing %d at the end", a.used, a.leaving, a.all.closing)
		}
	})
}

// Guards against limits that refuse a single request inside the limits of the smallest
// host: a body of 64 MiB needs a buffer of a quarter of it and the last one.
func TestLimitsOfTheSmallestHost(t *testing.T) {
	l := LimitsFor(184<<20, 4100)
	assert.Assert(t, l.LargeBytes >= (64+16)<<20, "%d bytes", l.LargeBytes)
	assert.Equal(t, l.Connections, (4100-200)/2)
}

// Guards against a crowd of callers that cuts a host off from other daemons.
func TestCallersLeaveConnectionsToDaemons(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 20, LargeBytes: 1 << 20, Connections: 4, CallerConnections: 3})
	daemon, _, err := a.Connect(epoch, FromDaemon, nil)
	assert.NilError(t, err)
	daemon.Begin(epoch) // slower than any caller
	for range 3 {
		connect(t, a, epoch).Served()
	}
	now := epoch.Add(time.Minute)
	_, victims, err := a.Connect(now, FromCaller, nil)
	assert.ErrorIs(t, err, ErrShort)
	assert.Equal(t, len(victims), 0, "a daemon made room for a caller")
	_, victims, err = a.Connect(now, FromDaemon, nil)
	assert.NilError(t, err)
	assert.Assert(t, len(victims) == 1 && victims[0] == daemon)
}
