package config

import (
	"hash/maphash"
	"maps"
)

// shardCount is the number of shards of a shardedMap. A change of one entry
// copies one shard; with 78,000 keys that is about 300 entries.
const shardCount = 256

var shardSeed = maphash.MakeSeed()

// shardedMap is an immutable map split into shards by key hash, so that a
// modified copy shares all shards that did not change.
type shardedMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
}

func shardIndex[K comparable](k K) int {
	return int(maphash.Comparable(shardSeed, k) % shardCount)
}

func (s *shardedMap[K, V]) get(k K) (V, bool) {
	v, ok := s.shards[shardIndex(k)][k]
	return v, ok
}

// all calls yield for each entry until yield returns false.
func (s *shardedMap[K, V]) all(yield func(K, V) bool) {
	for _, shard := range s.shards {
		for k, v := range shard {
			if !yield(k, v) {
				return
			}
		}
	}
}

// shardedMapEditor builds a modified copy of a shardedMap.
type shardedMapEditor[K comparable, V any] struct {
	next   *shardedMap[K, V]
	copied [shardCount]bool
	// shardCapacity is the expected number of entries of a new shard.
	shardCapacity int
}

// newShardedMapEditor starts a copy of s, which may be nil. added is the expected
// number of new entries.
func newShardedMapEditor[K comparable, V any](s *shardedMap[K, V], added int) *shardedMapEditor[K, V] {
	e := &shardedMapEditor[K, V]{next: &shardedMap[K, V]{}, shardCapacity: added / shardCount}
	if s != nil {
		e.next.shards = s.shards
	}
	return e
}

// writableShard returns the shard of k for writing and copies it on first use.
func (e *shardedMapEditor[K, V]) writableShard(k K) map[K]V {
	i := shardIndex(k)
	if e.copied[i] {
		return e.next.shards[i]
	}
	e.copied[i] = true
	shard := maps.Clone(e.next.shards[i])
	if shard == nil {
		shard = make(map[K]V, e.shardCapacity)
	}
	e.next.shards[i] = shard
	return shard
}

func (e *shardedMapEditor[K, V]) put(k K, v V) { e.writableShard(k)[k] = v }

func (e *shardedMapEditor[K, V]) remove(k K) {
	if _, ok := e.next.get(k); ok {
		delete(e.writableShard(k), k)
	}
}
