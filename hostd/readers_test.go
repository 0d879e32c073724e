package hostd

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// A new configuration reaches hosts that are not readers from the readers, and
// their number does not add to the calls to the store.
func TestChangesReachOtherHostsThroughReaders(t *testing.T) {
	const hosts = 8
	f := newFleet(t, hosts)
	time.Sleep(startPollPause * 3 / 2) // every host knows its readers
	before := f.store.Calls(karpithaz.PathFeed) + f.store.Calls(karpithaz.PathRange)
	f.configure(2)
	begun := time.Now()
	f.await("all hosts have the new configuration", func() bool {
		for _, h := range f.hosts {
			if h.control.View().Config.Revision != 2 {
				return false
			}
		}
		return true
	})
	took := time.Since(begun)
	calls := f.store.Calls(karpithaz.PathFeed) + f.store.Calls(karpithaz.PathRange) - before
	assert.Assert(t, took < 2*time.Second, "%s", took)
	// Two readers poll two tables again after the change and every 1.5 s.
	assert.Assert(t, calls <= 2*2*3, "%d calls", calls)
}

// The store refuses the readers of a data centre and the first standbys, as it may
// refuse any hosts, and serves all others. Changes reach the hosts of that data centre in the time
// in which a configuration must come into force.
func TestChangesReachADataCentreWithoutReaders(t *testing.T) {
	for _, mode := range []standin.Mode{standin.ModeDown, standin.ModeReset, standin.ModeSilent} {
		t.Run(string(mode), func(t *testing.T) {
			f := newFleetIn(t, "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-b", "dc-b", "dc-b")
			time.Sleep(startPollPause * 3 / 2) // every host knows its readers
			for _, reader := range f.hosts[0].control.View().ranked("dc-a")[:storepoll.Readers+2] {
				for _, h := range f.hosts {
					if h.settings.Host == reader {
						f.store.SetHostFault(h.settings.IP, mode)
					}
				}
			}
			for revision := 2; revision <= 8; revision++ {
				time.Sleep(time.Duration(revision) * 60 * time.Millisecond)
				f.configure(revision)
				changed := time.Now()
				f.await("all hosts have the new configuration", func() bool {
					for _, h := range f.hosts {
						if h.control.View().Config.Revision < uint64(revision) {
							return false
						}
					}
					return true
				})
				took := time.Since(changed)
				t.Logf("revision %d: %s", revision, took)
				assert.Check(t, took < f.hosts[0].settings.Bounds.ConfigApplyDeadline, "revision %d: %s", revision, took)
			}
		})
	}
}

// onePeer is a peer with a configuration and a freshness proof.
type onePeer struct{ row karpithaz.Row }

func (p onePeer) query(context.Context, string, datagram) (datagram, error) {
	return datagram{Result: true, ConfigVersion: p.row.Version, Millis: 700}, nil
}

func (p onePeer) hostChanges(context.Context, string, uint64) (hostChanges, error) {
	return hostChanges{}, errors.New("not expected")
}

func (p onePeer) operatorChanges(context.Context, string, uint64) (operatorChanges, error) {
	return operatorChanges{Full: true, Version: p.row.Version, Rows: []karpithaz.Row{p.row}}, nil
}

// A starting host that gets its first configuration after a notice gets a proof with
// it: it said that it was ready and refused all keys until its next poll.
func TestNoticeOfTheFirstConfigurationBringsAProof(t *testing.T) {
	row := karpithaz.Row{Table: karpithaz.OperatorTable, Key: karpithaz.ConfigKey, Version: 7, Value: standin.EncodeConfig(1, []string{"svc"}, defaultRoutes(), nil)}
	c := NewControl("h", "dc", nil, onePeer{row}, decisions.New(&logBuffer{}), metrics.New())
	c.view.Store(newView(nil, nil, map[string]Target{"peer": {ID: "i", Service: "svc", Host: "peer", DataCentre: "dc"}}, true, time.Now()))
	c.hosts = map[string]Target{"peer": c.View().byHost["peer"]}
	c.hostsLoaded = true
	go c.Run(t.Context())        //nolint:errcheck // returns nil when ctx ends
	go c.RunNotices(t.Context()) //nolint:errcheck // returns nil when ctx ends
	c.recordNotice(datagram{Host: "peer", ConfigVersion: 7})
	deadline := time.Now().Add(5 * time.Second)
	for !c.View().Ready() || !c.proven() {
		assert.Assert(t, time.Now().Before(deadline), "ready %v, proven %v", c.View().Ready(), c.proven())
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, c.ProofAge() >= 700*time.Millisecond && c.ProofAge() < 6*time.Second, "%s", c.ProofAge())
}
