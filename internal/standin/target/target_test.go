package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/standin/answer"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func startTarget(t *testing.T, opts Options) *Target {
	t.Helper()
	path := filepath.Join(t.TempDir(), "runs")
	l, err := record.Open(path)
	assert.NilError(t, err)
	opts.Name, opts.Service, opts.Log = "t1", "orders", l
	tg, err := New(opts)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tg.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		want := len(tg.Runs())
		got, err := record.Read(path)
		assert.NilError(t, err)
		assert.Equal(t, len(got), want)
	})
	return tg
}

func send(t *testing.T, tg *Target, id, query, body string) (int, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+tg.Addr()+"/orders?"+query, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func TestResponsesCarryRequestIDAndAreRecorded(t *testing.T) {
	tg := startTarget(t, Options{Secrets: []string{"s3cret"}})
	status, body, err := send(t, tg, "r1", "size=5000&chunk_ms=1", "x")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	id, complete := answer.Check(body)
	assert.Equal(t, id, "r1")
	assert.Assert(t, complete)
	_, _, err = send(t, tg, "r2", "token=s3cret", "x")
	assert.NilError(t, err)
	runs := tg.Runs()
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].Outcome, record.OutcomeAnswered)
	assert.Assert(t, !runs[0].KeySeen)
	assert.Assert(t, runs[1].KeySeen)
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   Faults
		status   int
		complete bool
		outcome  record.Outcome
	}{
		{"error", Faults{ErrorShare: 1}, 500, false, record.OutcomeError},
		{"flap", Faults{FlapMS: 60000}, 500, false, record.OutcomeError},
		{"shed", Faults{Shed: true}, 503, false, record.OutcomeShed},
		{"truncated length", Faults{Truncate: TruncateLength}, 200, false, record.OutcomeTruncated},
		{"truncated chunked", Faults{Truncate: TruncateChunked}, 200, false, record.OutcomeTruncated},
		{"stray", Faults{ExtraResponse: true}, 200, true, record.OutcomeAnswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			tg := startTarget(t, Options{Faults: c.faults})
			status, body, _ := send(t, tg, "r", "", "x")
			assert.Equal(t, status, c.status)
			_, complete := answer.Check(body)
			assert.Equal(t, complete, c.complete)
			// The outcome of a run is recorded after its response was sent.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := tg.Runs()[0].Outcome; got != c.outcome {
					return poll.Continue("outcome %q, want %q", got, c.outcome)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
		})
	}
}

func TestSwapReturnsPreviousResponse(t *testing.T) {
	tg := startTarget(t, Options{Faults: Faults{SwapResponses: true}})
	for _, id := range []string{"r1", "r2"} {
		_, body, err := send(t, tg, id, "", "x")
		assert.NilError(t, err)
		got, _ := answer.Check(body)
		assert.Equal(t, got, "r1")
	}
}

func TestCrashIsRecordedBeforeExit(t *testing.T) {
	var seen []record.Run
	var tg *Target
	tg = startTarget(t, Options{Crash: func() { seen = tg.Runs() }})
	_, _, err := send(t, tg, "r", "", "a "+CrashMarker)
	assert.NilError(t, err)
	assert.Equal(t, len(seen), 1)
}

func TestSilentFaultAffectsOnlyOpenConnections(t *testing.T) {
	tg := startTarget(t, Options{})
	conn, err := net.Dial("tcp", tg.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: t\r\n\r\n")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	tg.SetFaults(Faults{IgnoreOpenConns: true})
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: t\r\nX-Request-Id: lost\r\n\r\n")
	assert.NilError(t, err)
	_, _, err = send(t, tg, "r", "", "x")
	assert.NilError(t, err)
	assert.Equal(t, len(tg.Runs()), 1)
	assert.Equal(t, tg.Runs()[0].RequestID, "r")
}

func TestAnnouncesStateChange(t *testing.T) {
	got := make(chan announcement, 16)
	daemon := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a announcement
		if json.NewDecoder(r.Body).Decode(&a) == nil {
			got <- a
		}
	}))
	defer daemon.Close()
	tg := startTarget(t, Options{Announce: daemon.URL})
	assert.Equal(t, (<-got).State, "ready")
	faults, err := json.Marshal(Faults{Leaving: true})
	assert.NilError(t, err)
	resp, err := http.Post("http://"+tg.ControlAddr()+"/faults", "application/json", bytes.NewReader(faults))
	assert.NilError(t, err)
	resp.Body.Close()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case a := <-got:
			if a.State == "leaving" {
				assert.Equal(t, a.Slots, defaultSlots)
				return
			}
		case <-deadline:
			t.Fatal("no announcement with state leaving")
		}
	}
}
