package hostd

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/storepoll"
)

// freezeRounds is how often hosts freeze in a test. Their polls are at other points
// of their intervals each time.
const freezeRounds = 4

// checkChangesWhileFrozen freezes hosts right before a change, several times, and
// checks that all others have the change in time.
func checkChangesWhileFrozen(t *testing.T, f *testFleet, frozen []string) {
	t.Helper()
	for revision := 2; revision < 2+freezeRounds; revision++ {
		f.awaitRevision(revision - 1)
		time.Sleep(2*storepoll.PollInterval(storepoll.Ranked) + time.Duration(revision)*130*time.Millisecond)
		f.freeze(frozen...)
		f.configure(revision)
		took := f.awaitRevision(revision, frozen...)
		f.thaw(frozen...)
		t.Logf("revision %d: %s", revision, took)
		assert.Check(t, took < f.hosts[0].settings.Bounds.ConfigApplyDeadline, "revision %d: in force after %s", revision, took)
	}
}

func TestChangeIsInForceInTimeWhileReadersOfADataCentreAreFrozen(t *testing.T) {
	t.Parallel()
	f := newFleetIn(t, append(slices.Repeat([]string{"dc-a"}, 10), "dc-b", "dc-b", "dc-b")...)
	time.Sleep(startPollPause * 3 / 2) // every host knows its readers
	checkChangesWhileFrozen(t, f, f.hosts[0].control.View().ranked("dc-a"))
}

func TestChangeIsInForceInTimeWhileAllReadersAreFrozen(t *testing.T) {
	t.Parallel()
	f := newFleetIn(t, append(slices.Repeat([]string{"dc-a"}, 9), slices.Repeat([]string{"dc-b"}, 9)...)...)
	time.Sleep(startPollPause * 3 / 2) // every host knows its readers
	view := f.hosts[0].control.View()
	checkChangesWhileFrozen(t, f, append(view.ranked("dc-a"), view.ranked("dc-b")...))
}

func TestChangeIsInForceInTimeOnAHostThatReachesNoOther(t *testing.T) {
	t.Parallel()
	f := newFleetIn(t, "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-a", "dc-b")
	time.Sleep(startPollPause * 3 / 2) // every host knows its readers
	ranked := f.hosts[0].control.View().ranked("dc-a")
	var cutOff *testHostd
	for _, h := range f.hosts[:7] {
		if h.settings.Host == ranked[len(ranked)-1] {
			cutOff = h
		}
	}
	for revision := 2; revision < 2+freezeRounds; revision++ {
		time.Sleep(2*storepoll.PollInterval(storepoll.Ranked) + time.Duration(revision)*130*time.Millisecond)
		cutOff.unreachable.Store(true)
		f.configure(revision)
		took := f.awaitRevision(revision)
		cutOff.unreachable.Store(false)
		t.Logf("revision %d: %s", revision, took)
		assert.Check(t, took < cutOff.settings.Bounds.ConfigApplyDeadline, "revision %d: in force after %s", revision, took)
	}
}

// forgetfulStore has no history before its latest change.
type forgetfulStore struct {
	store
	row karpithaz.Row
}

func (s forgetfulStore) Range(context.Context, string, string, time.Duration) (karpithaz.RowsResponse, error) {
	return karpithaz.RowsResponse{Rows: []karpithaz.Row{s.row}, Version: s.row.Version}, nil
}

func (s forgetfulStore) Feed(_ context.Context, _ string, after uint64, _, _ time.Duration) (karpithaz.RowsResponse, error) {
	if after < s.row.Version {
		return karpithaz.RowsResponse{}, karpithaz.ErrHistoryExpired
	}
	return karpithaz.RowsResponse{Version: s.row.Version}, nil
}

func TestHostOutsideTheReadersReloadsATableWhoseHistoryHasExpired(t *testing.T) {
	row := func(revision int) karpithaz.Row {
		return karpithaz.Row{Table: karpithaz.OperatorTable, Key: karpithaz.ConfigKey, Version: uint64(10 * revision),
			Value: standin.EncodeConfig(revision, []string{"svc"}, defaultRoutes(), nil)}
	}
	c := NewControl("h", "dc", forgetfulStore{row: row(2)}, noPeers{}, decisions.New(&logBuffer{}), metrics.New())
	c.apply(tableUpdate{table: karpithaz.OperatorTable, full: true, version: 10, rows: []karpithaz.Row{row(1)}})
	go c.Run(t.Context())            //nolint:errcheck // returns nil when ctx ends
	go c.RunReaderPolls(t.Context()) //nolint:errcheck // returns nil when ctx ends
	deadline := time.Now().Add(2 * time.Second)
	for c.View().Config.Revision != 2 {
		assert.Assert(t, time.Now().Before(deadline), "revision %d", c.View().Config.Revision)
		time.Sleep(time.Millisecond)
	}
}

// noPeers are peers that do not answer.
type noPeers struct{ peers }

func (noPeers) query(context.Context, string, datagram) (datagram, error) {
	return datagram{}, errNoAnswer
}

// The rows of a data centre's readers stayed when both had died, as only readers removed
// rows: their targets were offered requests, and rates that they owned were refused.
func TestRowsOfReadersThatHaveDiedAreRemoved(t *testing.T) {
	f := newFleet(t, 5)
	time.Sleep(silenceTimeout) // the other hosts have been polled for some time
	readers := f.hosts[0].control.View().ranked("dc-a")[:storepoll.Readers]
	f.freeze(readers...)
	begun := time.Now()
	for len(readers) > 0 {
		if _, listed := f.store.Row(hostsTable, readers[0]); !listed {
			readers = readers[1:]
			continue
		}
		assert.Assert(t, time.Since(begun) < 3*silenceTimeout, "the row of %s is there after %s", readers[0], time.Since(begun))
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("after %s", time.Since(begun))
}

// The same where other hosts have been given the addresses of the readers that have died.
func TestRowsOfReadersWhoseAddressesAreReusedAreRemoved(t *testing.T) {
	f := newFleet(t, 4)
	names := []string{"host-1", "host-2", "host-3", "host-4"}
	var gone []string
	for i := 0; len(gone) < storepoll.Readers; i++ {
		name := fmt.Sprintf("gone-%d", i)
		if rank := slices.Index(quota.RankOwners("reader", append(slices.Clone(names), append(slices.Clone(gone), name)...)), name); rank < storepoll.Readers {
			gone = append(gone, name)
		}
	}
	for i, name := range gone {
		f.store.Put(hostsTable, name, fmt.Appendf(nil, `{"target":"i-%s","service":"svc","host":%q,"data_centre":"dc-a","gate":"127.0.1.99:1","control":%q,"slots":4}`,
			name, name, f.hosts[i].settings.DatagramListen))
	}
	f.await("the rows are known", func() bool { return f.hosts[0].control.View().HostCount == len(names)+len(gone) })
	assert.DeepEqual(t, sorted(f.hosts[0].control.View().ranked("dc-a")[:storepoll.Readers]), sorted(gone))
	begun := time.Now()
	for f.hosts[0].control.View().HostCount > len(names) {
		assert.Assert(t, time.Since(begun) < 3*silenceTimeout, "%d hosts are listed after %s", f.hosts[0].control.View().HostCount, time.Since(begun))
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("after %s", time.Since(begun))
}

func sorted(names []string) []string { return slices.Sorted(slices.Values(names)) }
