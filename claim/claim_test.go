package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/gooseberryshed/gooseberryshed/wire"
)

var (
	ctx         = context.Background()
	testRequest = Request{Workspace: "parish", Key: "order-1", Digest: [32]byte{1}}
)

func testOptions() Options { return Options{BatchWindow: time.Microsecond} }

func attempt(host string) AttemptRef {
	return AttemptRef{Host: host, ID: wire.NewID(), Epoch: wire.Epoch{Incarnation: 7, Generation: 3}}
}

func mustBegin(t *testing.T, s *Store, req Request, att AttemptRef, want Outcome) Result {
	t.Helper()
	res, err := s.Begin(ctx, req, att)
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome, want)
	return res
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func TestRetryIsReplayed(t *testing.T) {
	table := newFakeTable()
	first, second := New(table, testOptions()), New(table, testOptions())
	res := mustBegin(t, first, testRequest, attempt("a"), Proceed)
	response := StoredResponse{Status: 201, Header: []HeaderField{{"Location", "/o/1"}}, Body: []byte("booked")}
	assert.NilError(t, res.Claim.Finish(ctx, response))
	again := mustBegin(t, second, testRequest, attempt("b"), Replay)
	assert.DeepEqual(t, *again.Stored, response)
}

func TestKeyOfAnotherRequestIsReportedAsMismatch(t *testing.T) {
	s := New(newFakeTable(), testOptions())
	mustBegin(t, s, testRequest, attempt("a"), Proceed)
	other := testRequest
	other.Digest = [32]byte{2}
	mustBegin(t, s, other, attempt("a"), Mismatch)
	other.Workspace = "another"
	mustBegin(t, s, other, attempt("a"), Proceed)
}

func TestPendingClaimReportsItsAttempt(t *testing.T) {
	table := newFakeTable()
	first, second := New(table, testOptions()), New(table, testOptions())
	att, further := attempt("a"), attempt("b")
	res := mustBegin(t, first, testRequest, att, Proceed)
	assert.Equal(t, mustBegin(t, second, testRequest, attempt("c"), InProgress).Attempt, att)
	assert.NilError(t, res.Claim.Reassign(ctx, further))
	assert.Equal(t, mustBegin(t, second, testRequest, attempt("c"), InProgress).Attempt, further)
}

func TestTakeOverInvalidatesTheFormerClaim(t *testing.T) {
	table := newFakeTable()
	first, second := New(table, testOptions()), New(table, testOptions())
	former := mustBegin(t, first, testRequest, attempt("a"), Proceed)
	found := mustBegin(t, second, testRequest, attempt("b"), InProgress)
	res, err := second.TakeOver(ctx, testRequest, found, attempt("b"))
	assert.NilError(t, err)
	assert.Equal(t, res.Outcome, Proceed)
	assert.Equal(t, kindOf(former.Claim.Reassign(ctx, attempt("c"))), KindTakenOver)
	third, err := second.TakeOver(ctx, testRequest, found, attempt("d"))
	assert.NilError(t, err)
	assert.Equal(t, third.Outcome, InProgress)
}

func TestAbandonedRequestMayRunAgain(t *testing.T) {
	s := New(newFakeTable(), testOptions())
	res := mustBegin(t, s, testRequest, attempt("a"), Proceed)
	assert.NilError(t, res.Claim.Abandon(ctx))
	mustBegin(t, s, testRequest, attempt("a"), Proceed)
}

func TestLargeResponseIsRecordedWithoutItsBody(t *testing.T) {
	s := New(newFakeTable(), Options{BatchWindow: time.Microsecond, MaxStoredBody: 4})
	res := mustBegin(t, s, testRequest, attempt("a"), Proceed)
	assert.NilError(t, res.Claim.Finish(ctx, StoredResponse{Status: 200, Body: []byte("12345")}))
	again := mustBegin(t, s, testRequest, attempt("a"), Replay)
	assert.Assert(t, again.Stored.BodyOmitted)
	assert.Equal(t, len(again.Stored.Body), 0)
}

func TestBeginFailsDuringTableOutage(t *testing.T) {
	table := newFakeTable()
	table.nextFault = func(string) fault { return faultUnavailable }
	_, err := New(table, testOptions()).Begin(ctx, testRequest, attempt("a"))
	assert.Equal(t, kindOf(err), KindUnconfirmed)
}

func TestUncertainCommitIsResolvedByTheToken(t *testing.T) {
	for _, f := range []fault{faultReplyLost, faultRequestLost} {
		table := newFakeTable()
		s := New(table, testOptions())
		faults := 0
		table.nextFault = func(op string) fault {
			if op == "commit" && faults == 0 {
				faults++
				return f
			}
			return faultNone
		}
		mustBegin(t, s, testRequest, attempt("a"), Proceed)
		mustBegin(t, s, testRequest, attempt("a"), InProgress)
	}
}

func TestResponseIsWrittenAfterTableOutage(t *testing.T) {
	table := newFakeTable()
	s := New(table, testOptions())
	res := mustBegin(t, s, testRequest, attempt("a"), Proceed)
	table.nextFault = func(string) fault { return faultUnavailable }
	assert.Equal(t, kindOf(res.Claim.Finish(ctx, StoredResponse{Status: 200})), KindUnconfirmed)
	assert.Equal(t, s.Stats().Unsettled, int64(1))
	s.RetryDeferred(ctx)
	assert.Equal(t, s.Stats().Unsettled, int64(1))
	table.nextFault = nil
	s.RetryDeferred(ctx)
	assert.Equal(t, s.Stats().Unsettled, int64(0))
	mustBegin(t, s, testRequest, attempt("a"), Replay)
}

func TestConflictDoesNotFailTheRestOfTheBatch(t *testing.T) {
	for _, keyless := range []bool{false, true} {
		table := newFakeTable()
		table.hideConflictKeys = keyless
		s := New(table, Options{BatchWindow: 5 * time.Millisecond, MaxInFlight: 1})
		mustBegin(t, s, testRequest, attempt("a"), Proceed)
		var wg sync.WaitGroup
		outcomes := make([]Outcome, 20)
		for i := range outcomes {
			wg.Go(func() {
				req := Request{Workspace: "parish", Key: fmt.Sprintf("order-%d", i)}
				req.Digest[0] = 1
				res, _ := s.Begin(ctx, req, attempt("a"))
				outcomes[i] = res.Outcome
			})
		}
		wg.Wait()
		for i, o := range outcomes {
			want := Proceed
			if i == 1 {
				want = InProgress
			}
			assert.Equal(t, o, want, "order-%d", i)
		}
	}
}

func TestExpiredRowsAreSweptAndReplaced(t *testing.T) {
	table := newFakeTable()
	now := time.Unix(1e9, 0)
	s := New(table, Options{BatchWindow: time.Microsecond, SweepBatch: 2, Clock: func() time.Time { return now }})
	for i := range 5 {
		mustBegin(t, s, Request{Workspace: "parish", Key: fmt.Sprint(i)}, attempt("a"), Proceed)
	}
	now = now.Add(DefaultRetention)
	mustBegin(t, s, Request{Workspace: "parish", Key: "0"}, attempt("a"), Proceed)
	after := ""
	for range 4 {
		after = s.Sweep(ctx, after)
	}
	mustBegin(t, s, Request{Workspace: "parish", Key: "last"}, attempt("a"), Proceed)
	assert.Equal(t, s.Stats().Swept, int64(4))
}

// TestConcurrentClaimsProceedOnce lets several daemons claim the same key at
// the same time while table operations fail. No daemon takes over the claim, so
// at most one may proceed.
func TestConcurrentClaimsProceedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]fault{
			faultNone, faultNone, faultUnavailable, faultReplyLost, faultRequestLost,
		}), 40, 40).Draw(t, "faults")
		table := newFakeTable()
		op := 0
		table.nextFault = func(string) fault {
			op++
			return faults[op%len(faults)]
		}
		daemons := rapid.IntRange(2, 4).Draw(t, "daemons")
		var wg sync.WaitGroup
		outcomes := make([]Outcome, daemons)
		for i := range outcomes {
			s := New(table, testOptions())
			wg.Go(func() {
				res, _ := s.Begin(ctx, testRequest, attempt("a"))
				outcomes[i] = res.Outcome
			})
		}
		wg.Wait()
		proceeded := 0
		for _, o := range outcomes {
			if o == Proceed {
				proceeded++
			}
		}
		if proceeded > 1 {
			t.Fatalf("%d daemons proceeded, want at most 1", proceeded)
		}
	})
}
