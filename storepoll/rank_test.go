package storepoll

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/quota"
)

func TestHostsWithFastLinksReadTheStore(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e", "f"}
	byHash := quota.RankOwners("reader", hosts)
	list := func(links map[string]int) []Candidate {
		var out []Candidate
		for _, h := range hosts {
			out = append(out, Candidate{h, links[h]})
		}
		return out
	}
	assert.DeepEqual(t, Rank(list(nil)), byHash)
	fast := map[string]int{byHash[4]: 200, byHash[2]: 200, byHash[5]: 100}
	assert.DeepEqual(t, Rank(list(fast)), []string{byHash[2], byHash[4], byHash[5], byHash[0], byHash[1], byHash[3]})
	shuffled := list(fast)
	slices.Reverse(shuffled)
	assert.DeepEqual(t, Rank(shuffled), Rank(list(fast)))
	assert.Equal(t, len(Rank(nil)), 0)
}
