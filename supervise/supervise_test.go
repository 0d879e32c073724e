package supervise

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestChildrenStopInReverseOrder(t *testing.T) {
	var mu sync.Mutex
	var stopped []string
	child := func(name string) Child {
		return Child{Name: name, Run: func(ctx context.Context) error {
			<-ctx.Done()
			mu.Lock()
			defer mu.Unlock()
			stopped = append(stopped, name)
			return nil
		}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, New(Options{}, child("a"), child("b"), child("c")).Run(ctx))
	assert.DeepEqual(t, stopped, []string{"c", "b", "a"})
}

func TestOnlyPanickingChildIsRestarted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var starts, steady atomic.Int64
	tree := New(Options{MinBackoff: time.Millisecond},
		Child{Name: "steady", Run: func(ctx context.Context) error {
			steady.Add(1)
			<-ctx.Done()
			return nil
		}},
		Child{Name: "flaky", Run: func(ctx context.Context) error {
			if starts.Add(1) < 3 {
				panic("flaky")
			}
			cancel()
			<-ctx.Done()
			return nil
		}})
	assert.NilError(t, tree.Run(ctx))
	assert.Equal(t, steady.Load(), int64(1))
	assert.Equal(t, tree.Restarts(), int64(2))
}

func TestChildThatKeepsFailingEndsTheTree(t *testing.T) {
	boom := errors.New("boom")
	tree := New(Options{MinBackoff: time.Microsecond, MaxBackoff: time.Microsecond, MaxRestarts: 2},
		Child{Name: "bad", Run: func(context.Context) error { return boom }})
	err := tree.Run(context.Background())
	var te *Error
	assert.Assert(t, errors.As(err, &te))
	assert.Equal(t, te.Child, "bad")
	assert.ErrorIs(t, err, boom)
}

func TestCriticalChildIsNotRestarted(t *testing.T) {
	starts := 0
	tree := New(Options{}, Child{Name: "loop", Critical: true, Run: func(context.Context) error {
		starts++
		panic("lost state")
	}})
	assert.ErrorContains(t, tree.Run(context.Background()), "lost state")
	assert.Equal(t, starts, 1)
}
