package config

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of parts of a shards map. A change of one entry
// copies one part; at 78,000 keys that is some 300 entries.
const shardCount = 256

var shardSeed = maphash.MakeSeed()

// shards is an immutable map in parts, so that a changed copy shares all parts
// that did not change.
type shards[K comparable, V any] struct {
	parts [shardCount]map[K]V
}

func shardOf[K comparable](k K) int {
	return int(maphash.Comparable(shardSeed, k) % shardCount)
}

func (s *shards[K, V]) get(k K) (V, bool) {
	v, ok := s.parts[shardOf(k)][k]
	return v, ok
}

// all calls yield for each entry until it returns false.
func (s *shards[K, V]) all(yield func(K, V) bool) {
	for _, part := range s.parts {
		for k, v := range part {
			if !yield(k, v) {
				return
			}
		}
	}
}

// shardsEditor builds a changed copy of a shards map.
type shardsEditor[K comparable, V any] struct {
	next  *shards[K, V]
	owned [shardCount]bool
	// room is how many entries to expect in a new part.
	room int
}

// edit starts a copy of s, nil for none, into which added entries will go.
func edit[K comparable, V any](s *shards[K, V], added int) *shardsEditor[K, V] {
	e := &shardsEditor[K, V]{next: &shards[K, V]{}, room: added / shardCount}
	if s != nil {
		e.next.parts = s.parts
	}
	return e
}

// own returns the part of k for writing.
func (e *shardsEditor[K, V]) own(k K) map[K]V {
	i := shardOf(k)
	if e.owned[i] {
		return e.next.parts[i]
	}
	e.owned[i] = true
	part := maps.Clone(e.next.parts[i])
	if part == nil {
		part = make(map[K]V, e.room)
	}
	e.next.parts[i] = part
	return part
}

func (e *shardsEditor[K, V]) put(k K, v V) { e.own(k)[k] = v }

func (e *shardsEditor[K, V]) drop(k K) {
	if _, ok := e.next.get(k); ok {
		delete(e.own(k), k)
	}
}
