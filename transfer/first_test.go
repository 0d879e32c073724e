package transfer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const kb = 1 << 10

var testLimits = Limits{Silence: 400 * time.Millisecond, GiveUp: 2 * time.Second, Running: 3}

// link is a source that is silent for a while, then sends at a rate, and fails or completes.
type link struct {
	name      string
	silent    time.Duration
	bytes     int
	perSecond int
	err       error
}

func (l link) get(ctx context.Context) (string, error) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !wait(l.silent) {
		return "", ctx.Err()
	}
	for sent := 0; sent < l.bytes; sent += kb {
		if !wait(time.Second * kb / time.Duration(l.perSecond)) {
			return "", ctx.Err()
		}
		MeterOf(ctx).Add(kb)
	}
	return l.name, l.err
}

func sources(links ...link) (next func() (Source[string], bool), begun func() int) {
	n := 0
	return func() (Source[string], bool) {
		if n == len(links) {
			return Source[string]{}, false
		}
		n++
		return Source[string]{Get: links[n-1].get}, true
	}, func() int { return n }
}

func TestFirst(t *testing.T) {
	frozen := time.Hour
	refused := errors.New("refused")
	for _, c := range []struct {
		name         string
		links        []link
		want, failed string
		begun        int
		within       time.Duration
	}{
		{name: "one source", links: []link{{name: "a", bytes: 100 * kb, perSecond: 1000 * kb}}, want: "a", begun: 1, within: 110 * time.Millisecond},
		{name: "a slow link is not cut off", links: []link{{name: "a", bytes: 1000 * kb, perSecond: 100 * kb}, {name: "b"}}, want: "a", begun: 1, within: 11 * time.Second},
		{name: "frozen sources", links: []link{{name: "a", silent: frozen}, {name: "b", silent: frozen}, {name: "c", bytes: kb, perSecond: 100 * kb}}, want: "c", begun: 3, within: time.Second},
		{name: "a source that is silent for long still wins", links: []link{{name: "a", silent: 1900 * time.Millisecond}, {name: "b", silent: frozen}}, want: "a", begun: 2, within: 2 * time.Second},
		{name: "a refusal is followed at once", links: []link{{name: "a", err: refused}, {name: "b"}}, want: "b", begun: 2, within: time.Millisecond},
		{name: "all refuse", links: []link{{err: refused}, {err: refused}}, failed: "refused", begun: 2, within: time.Millisecond},
		{name: "all are frozen", links: []link{{silent: frozen}, {silent: frozen}}, failed: "nothing received", begun: 2, within: 2700 * time.Millisecond},
		{name: "no more than three at once", links: []link{{silent: frozen}, {silent: frozen}, {silent: frozen}, {name: "d"}}, want: "d", begun: 4, within: 2300 * time.Millisecond},
		{name: "none", failed: "no source", within: time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				next, begun := sources(c.links...)
				at := time.Now()
				got, err := First(t.Context(), testLimits, next)
				if c.failed != "" {
					assert.ErrorContains(t, err, c.failed)
				} else {
					assert.NilError(t, err)
				}
				assert.Equal(t, got, c.want)
				assert.Equal(t, begun(), c.begun)
				assert.Assert(t, time.Since(at) <= c.within, "after %s", time.Since(at))
			})
		})
	}
}

func TestFirstWaitsForALongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := 0
		got, err := First(t.Context(), testLimits, func() (Source[string], bool) {
			begun++
			return Source[string]{Get: link{name: "a", silent: 1500 * time.Millisecond}.get, Wait: 1500 * time.Millisecond}, true
		})
		assert.NilError(t, err)
		assert.Equal(t, got, "a")
		assert.Equal(t, begun, 1)
	})
}

func TestFirstEndsWithItsContextAndCountsAllBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		ctx, cancel := context.WithTimeout(WithMeter(t.Context(), &m), time.Second)
		defer cancel()
		next, _ := sources(link{bytes: 100 * kb, perSecond: 10 * kb})
		_, err := First(ctx, testLimits, next)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, m.Bytes() >= 9*kb && m.Bytes() <= 10*kb, "%d bytes", m.Bytes())
	})
}
