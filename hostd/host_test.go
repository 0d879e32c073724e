package hostd

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

func TestRequestIsServedAndTargetSeesNoKey(t *testing.T) {
	f := newFleet(t, 2)
	r, err := f.hosts[0].call(standin.Call{Attempt: "a1", Method: "POST", URI: "/order/7?x=1", Key: testKey, Body: "two beds"})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 200)
	assert.Assert(t, r.Signed)
	assert.Equal(t, r.Attempt, "a1")
	assert.Equal(t, f.runsOf("a1"), 1)
	for _, h := range f.hosts {
		for _, run := range h.target.Runs() {
			assert.DeepEqual(t, run, standin.Run{Attempt: "a1", Method: "POST", URI: "/order/7?x=1", Body: "two beds", Workspace: testWorkspace, Caller: "svc"})
		}
	}
}

func TestDenials(t *testing.T) {
	f := newFleet(t, 1)
	cases := []struct {
		name   string
		call   standin.Call
		status int
	}{
		{"unknown host", standin.Call{URI: "/read/1", Host: "elsewhere.example", Key: testKey}, 404},
		{"unknown path", standin.Call{URI: "/nothing/1", Key: testKey}, 404},
		{"no key", standin.Call{URI: "/read/1"}, 401},
		{"unknown key", standin.Call{URI: "/read/1", Key: "no-such"}, 401},
		{"open route", standin.Call{URI: "/inner/1"}, 200},
		{"absolute form", standin.Call{URI: "http://" + testHost + "/inner/1"}, 200},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.call.Attempt = fmt.Sprintf("d%d", i)
			r, err := f.hosts[0].call(c.call)
			assert.NilError(t, err)
			assert.Equal(t, r.Status, c.status)
		})
	}
}

// A revoked key must not be accepted beyond the time limit while a host cannot
// reach the store.
func TestKeysEndWithTheProof(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.store.SetHostFault("", standin.ModeSilent)
	lost := time.Now()
	f.workspaces = []standin.Workspace{{Name: testWorkspace, Key: "another-key"}}
	f.configure(2) // the host cannot read it
	f.await("keyed requests refused", func() bool {
		r, err := h.call(standin.Call{Attempt: "k", URI: "/read/1", Key: testKey, Timeout: time.Second})
		assert.NilError(t, err)
		if r.Status == 200 {
			assert.Assert(t, time.Since(lost) < 5*time.Second, "served %s after the store was lost", time.Since(lost))
			return false
		}
		assert.Equal(t, r.Status, 503)
		return true
	})
	r, err := h.call(standin.Call{Attempt: "o", URI: "/inner/1"})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 200, "routes without keys are served without the store")
}

func TestConfigurationAndEvacuationComeIntoForce(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.routes = append(f.routes, standin.Route{Name: "new", Host: testHost, Prefix: "/new/", Kind: "idempotent", Service: "svc",
		Timeout: time.Second, Objective: time.Second, AuthExempt: true})
	f.configure(7)
	f.await("new route", func() bool {
		r, err := h.call(standin.Call{Attempt: "n", URI: "/new/1"})
		return err == nil && r.Status == 200
	})
	f.store.Put(karpithaz.OperatorTable, "evacuate/dc-a", []byte("{}"))
	f.await("evacuated", func() bool {
		r, err := h.call(standin.Call{Attempt: "e", URI: "/new/1"})
		return err == nil && r.Status == 503
	})
	f.store.Remove(karpithaz.OperatorTable, "evacuate/dc-a")
	f.await("evacuation reverted", func() bool {
		r, err := h.call(standin.Call{Attempt: "b", URI: "/new/1"})
		return err == nil && r.Status == 200
	})
}

func TestFullReadAfterHistoryGap(t *testing.T) {
	f := newFleet(t, 1)
	f.store.SetHostFault("", standin.ModeDown)
	time.Sleep(200 * time.Millisecond)
	f.routes[0].Prefix = "/other/"
	f.configure(9)
	f.store.DropHistory()
	f.store.SetHostFault("", standin.ModeOK)
	f.await("configuration after a gap", func() bool { return f.hosts[0].control.View().Config.Revision == 9 })
}

// Guards against reading an empty store in a loop without a pause.
func TestEmptyStoreIsNotReadInALoop(t *testing.T) {
	store, err := standin.Start()
	assert.NilError(t, err)
	f := &testFleet{t: t, store: store}
	f.closeStoreAfterHosts()
	set := f.settings(1)
	target, err := standin.StartTarget("i-1", "svc", set.TargetAddress, 4, 0)
	assert.NilError(t, err)
	defer target.Close()
	f.start(set, target)
	time.Sleep(time.Second)
	assert.Assert(t, store.Calls(karpithaz.PathRange) <= 6, "%d reads in a second", store.Calls(karpithaz.PathRange))
}

// Hosts that are not readers learn of configuration and host changes with few
// calls to the store.
func TestNonReadersRarelyQueryTheStore(t *testing.T) {
	f := newFleet(t, 5)
	before := f.store.Calls(karpithaz.PathFeed)
	time.Sleep(4 * time.Second)
	calls := f.store.Calls(karpithaz.PathFeed) - before
	// Two readers poll every 1.5 s, and every host makes at most two more
	// calls.
	assert.Assert(t, calls <= 2*4+2*5, "%d polls in 4 s", calls)
	for _, h := range f.hosts {
		assert.Assert(t, h.control.ProofAge() < storepoll.MaxAge+time.Second, "proof of %s is %s old", h.settings.Host, h.control.ProofAge())
	}
}

func TestRowOfADeadHostIsDropped(t *testing.T) {
	f := newFleet(t, 4)
	readers := f.hosts[0].control.View().ranked("dc-a")
	for _, h := range f.hosts {
		if h.settings.Host != readers[0] && h.settings.Host != readers[1] {
			f.store.Put(hostsTable, "host-9", []byte(
				`{"target":"i-9","service":"svc","host":"host-9","data_centre":"dc-a","gate":"127.0.1.99:1","control":"127.0.1.99:2","slots":4}`))
			break
		}
	}
	f.await("the dead host is known", func() bool { return f.hosts[0].control.View().HostCount == 5 })
	f.await("its row is removed", func() bool {
		_, ok := f.store.Row(hostsTable, "host-9")
		return !ok
	})
	f.await("all hosts have applied the change", func() bool {
		for _, h := range f.hosts {
			if len(h.control.View().Targets("svc")) != 4 {
				return false
			}
		}
		return true
	})
}

func TestOwnRowRemovedByMistakeIsRewritten(t *testing.T) {
	f := newFleet(t, 1)
	time.Sleep(ownRowCheckInterval) // refreshRow ignores younger incarnations
	f.store.Remove(hostsTable, "host-1")
	f.await("row written again", func() bool {
		_, ok := f.store.Row(hostsTable, "host-1")
		return ok
	})
}

func TestForeignRowsAreIgnored(t *testing.T) {
	f := newFleet(t, 1)
	for i, value := range []string{"", "{", `{"host":"x"}`, `{"target":7}`, `{"target":"i","service":"svc","host":"host-x","data_centre":"d","gate":"nowhere","control":"127.0.0.1:1","slots":1}`} {
		f.store.Put(hostsTable, fmt.Sprintf("row-%d", i), []byte(value))
	}
	f.await("rows ignored", func() bool { return f.hosts[0].logs.count("host-unreadable") == 5 })
	assert.Equal(t, f.hosts[0].control.View().HostCount, 1)
}

// Orders sent to a hanging target are lost, so later ones must go to another
// target.
func TestOrdersAvoidHangingTarget(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[0].target.SetHanging(true)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.hosts[0].call(standin.Call{Attempt: fmt.Sprintf("w%d", i), URI: "/read/1", Key: testKey}) //nolint:errcheck // only provides evidence of the hang
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	served := 0
	for i := range 10 {
		r, err := f.hosts[0].call(standin.Call{Attempt: fmt.Sprintf("x%d", i), Method: "POST", URI: "/order/1", Key: testKey, Timeout: time.Second})
		assert.NilError(t, err)
		if r.Status == 200 {
			served++
		}
	}
	assert.Assert(t, served >= 9, "%d of 10 orders served", served)
}

// The hedge of a hanging read goes to another target, never to the same one.
func TestHedgeUsesAnotherTarget(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[0].target.SetHanging(true)
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		r, err := f.hosts[0].call(standin.Call{Attempt: id, URI: "/read/1", Key: testKey})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, 200)
		assert.Assert(t, f.runsOf(id) <= 2)
		for _, h := range f.hosts {
			n := 0
			for _, run := range h.target.Runs() {
				if run.Attempt == id {
					n++
				}
			}
			assert.Assert(t, n <= 1, "attempt %s ran %d times at %s", id, n, h.target.ID)
		}
	}
}

func TestFailedReadIsRepeatedAndFailedOrderIsNot(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[0].target.SetFailing(true)
	f.hosts[1].target.SetFailing(true)
	r, err := f.hosts[0].call(standin.Call{Attempt: "o", Method: "POST", URI: "/order/1", Key: testKey})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 500)
	assert.Assert(t, r.Signed, "the target's failure is passed on unchanged")
	assert.Equal(t, f.runsOf("o"), 1)
	f.hosts[1].target.SetFailing(false)
	r, err = f.hosts[0].call(standin.Call{Attempt: "r", URI: "/read/1", Key: testKey})
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 200)
}

func TestLeavingTargetGetsNothingMore(t *testing.T) {
	f := newFleet(t, 2)
	h := f.hosts[0]
	status, err := h.target.Announce(h.settings.AnnounceListen, "dc-a", "draining")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	// The departure is in the store before it is acknowledged.
	row, ok := f.store.Row(hostsTable, "host-1")
	assert.Assert(t, ok)
	written, err := decodeTarget(row.Key, row.Value)
	assert.NilError(t, err)
	assert.Assert(t, written.Departed && written.ID == h.target.ID)
	before := len(h.target.Runs())
	for i := range 10 {
		r, err := f.hosts[1].call(standin.Call{Attempt: fmt.Sprintf("l%d", i), URI: "/read/1", Key: testKey})
		assert.NilError(t, err)
		assert.Equal(t, r.Status, 200)
	}
	assert.Equal(t, len(h.target.Runs()), before)
	f.await("target left out by both hosts", func() bool {
		for _, each := range f.hosts {
			if _, listed := each.control.View().TargetOf("host-1"); listed {
				return false
			}
		}
		return true
	})
}

// The row of a departed target is kept for a while and then removed, unless the
// target is replaced meanwhile.
func TestExpiredDepartures(t *testing.T) {
	var h livenessTracker
	old := Target{ID: "i-1", Host: "a", Departed: true}
	now := time.Unix(1_700_000_000, 0)
	assert.Equal(t, len(h.expiredDepartures(map[string]Target{"a": old}, now)), 0)
	assert.Equal(t, len(h.expiredDepartures(map[string]Target{"a": old}, now.Add(departureRetention))), 0)
	assert.DeepEqual(t, h.expiredDepartures(map[string]Target{"a": old}, now.Add(departureRetention+time.Second)), []string{"a"})
	assert.Equal(t, len(h.expiredDepartures(map[string]Target{"a": old}, now.Add(departureRetention+2*time.Second))), 0, "not retried immediately")
	next := Target{ID: "i-2", Host: "a", Departed: true}
	assert.Equal(t, len(h.expiredDepartures(map[string]Target{"a": next}, now.Add(3*departureRetention))), 0)
}

func TestWorkspaceRateHoldsOverTheFleet(t *testing.T) {
	f := newFleet(t, 3)
	f.workspaces = []standin.Workspace{{Name: testWorkspace, Key: testKey, Rate: 10, Burst: 10}}
	f.configure(5)
	f.await("rate in force", func() bool {
		for _, h := range f.hosts {
			if h.control.View().Config.Revision != 5 {
				return false
			}
		}
		return true
	})
	served, refused := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	for _, h := range f.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 40 {
				r, err := h.call(standin.Call{Attempt: fmt.Sprintf("%s-%d", h.settings.Host, i), URI: "/read/1", Key: testKey})
				mu.Lock()
				if err == nil && r.Status == 200 {
					served++
				} else if r.Status == 429 {
					refused++
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	bound := (10*time.Since(begun).Seconds()+10)*1.1 + 20
	assert.Assert(t, float64(served) <= bound, "%d served, bound %.0f", served, bound)
	assert.Assert(t, refused > 0 && served >= 10, "%d served, %d refused", served, refused)
}

// If both owners of a workspace's rate are unreachable and the store is down,
// the other hosts grant their own shares of the rate.
func TestRateIsServedWithoutItsOwners(t *testing.T) {
	f := newFleet(t, 4)
	f.workspaces = []standin.Workspace{{Name: testWorkspace, Key: testKey, Rate: 40, Burst: 40}}
	f.configure(3)
	f.await("rate in force", func() bool {
		for _, h := range f.hosts {
			if h.control.View().Config.Revision != 3 {
				return false
			}
		}
		return true
	})
	f.store.SetHostFault("", standin.ModeReset)
	owners := quota.RankOwners(queryRate+" "+testWorkspace, f.hosts[0].control.View().hostNames())
	var other *testHostd
	for _, h := range f.hosts {
		if h.settings.Host == owners[0] || h.settings.Host == owners[1] {
			h.datagrams.close()
		} else {
			other = h
		}
	}
	served := 0
	for i := range 10 {
		r, err := other.call(standin.Call{Attempt: fmt.Sprintf("o%d", i), URI: "/read/1", Key: testKey})
		assert.NilError(t, err)
		if r.Status == 200 {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, served >= 8, "%d of 10 served", served)
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFleet(t, 2)
	conn, err := net.Dial("tcp", f.hosts[0].settings.CallerListen)
	assert.NilError(t, err)
	defer conn.Close()
	bw := bufio.NewWriter(conn)
	for i := range 5 {
		var req fasthttp.Request
		standin.Call{Attempt: fmt.Sprintf("p%d", i), Host: testHost, URI: "/read/1", Key: testKey, Timeout: 3 * time.Second}.Write(&req)
		assert.NilError(t, req.Write(bw))
	}
	assert.NilError(t, bw.Flush())
	br := bufio.NewReader(conn)
	for i := range 5 {
		var resp fasthttp.Response
		assert.NilError(t, resp.Read(br))
		r := standin.ReadResult(&resp)
		assert.Equal(t, r.Attempt, fmt.Sprintf("p%d", i))
		assert.Assert(t, strings.HasSuffix(r.Body, fmt.Sprintf("to p%d", i)), r.Body)
	}
}
