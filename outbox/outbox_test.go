package outbox

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// network is a set of peers that can be made silent.
type network struct {
	mu       sync.Mutex
	silent   map[string]bool
	gone     map[string]bool
	received map[string][]int
	dropped  []int
}

func newNetwork() *network {
	return &network{silent: map[string]bool{}, gone: map[string]bool{}, received: map[string][]int{}}
}

func (n *network) options() Options[int] {
	return Options[int]{
		Send: func(_ context.Context, peer string, m int) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.silent[peer] {
				return errors.New("silent")
			}
			n.received[peer] = append(n.received[peer], m)
			return nil
		},
		Listed: func(peer string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.gone[peer]
		},
		OnDropped: func(_ string, m int) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.dropped = append(n.dropped, m)
		},
	}
}

func (n *network) set(m map[string]bool, peer string, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[peer] = v
}

func (n *network) drops() []int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.dropped)
}

// A peer that does not answer for a while receives all messages in order once it does, and
// delays no other peer.
func TestSilentPeerReceivesWhatItMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		o := New(n.options())
		defer o.Close()
		n.set(n.silent, "b", true)
		var answered []string
		o.Put([]string{"a", "b"}, 1, func(peer string) { answered = append(answered, peer) })
		o.Put([]string{"a", "b"}, 2, nil)
		synctest.Wait()
		assert.DeepEqual(t, n.received["a"], []int{1, 2})
		assert.DeepEqual(t, answered, []string{"a"})
		time.Sleep(20 * time.Second)
		n.set(n.silent, "b", false)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, n.received["b"], []int{1, 2})
		assert.DeepEqual(t, answered, []string{"a", "b"})
		assert.Equal(t, len(o.queues), 0)
	})
}

// Messages for a peer that never answers, or that is no longer listed, are dropped.
func TestMessagesAreDroppedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		opts := n.options()
		opts.MaxQueue = 3
		o := New(opts)
		defer o.Close()
		n.set(n.silent, "b", true)
		for m := range 5 {
			o.Put([]string{"b"}, m, nil)
		}
		synctest.Wait()
		assert.DeepEqual(t, n.drops(), []int{0, 1})
		time.Sleep(defaultRetention + time.Second)
		synctest.Wait()
		assert.DeepEqual(t, n.drops(), []int{0, 1, 2, 3, 4})
		assert.Equal(t, len(o.queues), 0)
		o.Put([]string{"b"}, 5, nil)
		synctest.Wait()
		n.set(n.gone, "b", true)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(o.queues), 0)
	})
}

func TestCloseEndsAllAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.set(n.silent, "b", true)
		o := New(n.options())
		o.Put([]string{"b"}, 1, nil)
		synctest.Wait()
		o.Close()
		synctest.Wait()
		assert.Assert(t, slices.Equal(n.drops(), []int{1}))
	})
}
