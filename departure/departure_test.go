package departure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawPeers(t *rapid.T) []Peer {
	var out []Peer
	for i := range rapid.IntRange(0, 20).Draw(t, "others") {
		out = append(out, Peer{fmt.Sprint("host-", i), fmt.Sprint("dc-", rapid.IntRange(0, 3).Draw(t, "dc"))})
	}
	return out
}

// Once enough hosts hold a departure, the host finds one of them when it asks after a
// restart, whichever one of them is down and whichever one joined the fleet meanwhile.
func TestDepartureOutlivesOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := drawPeers(t)
		holders := Holders("self", others)
		var holding []Peer
		for _, p := range rapid.Permutation(holders).Draw(t, "answers") {
			if Enough(holding, holders) {
				break
			}
			holding = append(holding, p)
		}
		if len(others) < 2 {
			assert.Equal(t, Enough(holding, holders), len(others) == 1)
			return
		}
		assert.Assert(t, len(holding) >= 2 && dataCentres(holding) >= min(2, dataCentres(others)))
		down := rapid.SampledFrom(holding).Draw(t, "down")
		if len(others) < MaxHolders {
			others = append(others, Peer{"new", "dc-new"})
		}
		asked := Holders("self", others)
		assert.Assert(t, slices.ContainsFunc(asked, func(p Peer) bool { return p != down && slices.Contains(holding, p) }))
	})
}

func TestHoldersAreBoundedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		others := drawPeers(t)
		holders := Holders("self", others)
		assert.Equal(t, len(holders), min(MaxHolders, len(others)))
		assert.Equal(t, dataCentres(holders), min(MaxHolders, dataCentres(others)))
		assert.DeepEqual(t, holders, Holders("self", rapid.Permutation(others).Draw(t, "order")))
		assert.Assert(t, !Enough(nil, holders), "nobody holds it")
	})
}

func TestHeldDeparturesExpire(t *testing.T) {
	var h Held
	start := time.Unix(1_700_000_000, 0)
	h.Put(start, "a", Record{"i-1", 5})
	h.Put(start.Add(time.Second), "a", Record{"i-2", 6})
	h.Put(start.Add(time.Second), "a", Record{"i-2", 6})
	assert.DeepEqual(t, h.Get(start.Add(Retention-1), "a"), []Record{{"i-1", 5}, {"i-2", 6}})
	assert.DeepEqual(t, h.Get(start.Add(Retention), "a"), []Record{{"i-2", 6}})
	h.Sweep(start.Add(Retention))
	assert.DeepEqual(t, h.Get(start, "a"), []Record{{"i-2", 6}})
	h.Sweep(start.Add(Retention + time.Second))
	assert.Equal(t, len(h.byHost), 0)
	assert.Equal(t, len(h.Get(start, "b")), 0)
	for i := range int64(2 * maxHeld) {
		h.Put(start, "a", Record{"i", i})
	}
	assert.Equal(t, len(h.Get(start, "a")), maxHeld)
}

func TestRecordIncludesEarlierStarts(t *testing.T) {
	r := Record{"i-1", 5}
	for _, c := range []struct {
		id   string
		born int64
		want bool
	}{{"i-1", 5, true}, {"i-1", 4, true}, {"i-1", 0, true}, {"i-1", 6, false}, {"i-2", 5, false}} {
		assert.Equal(t, r.Includes(c.id, c.born), c.want, "%+v", c)
	}
	assert.Assert(t, Record{"i-1", 0}.Includes("i-1", 9))
}
