package hostd

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/quota"
	"github.com/gooseberryshed/gooseberryshed/routes"
)

// The owners of a rate, in two data centres, lose each other, and all other hosts of the
// first one's data centre are down. Found by the soak's seed 845.
func TestWorkspaceRateHoldsWhereOnlyTheOwnDataCentreReachesTheOwner(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &routes.Workspace{Name: fmt.Sprintf("ws-%d", seed), Rate: 20, Burst: 20}
				hosts := slices.DeleteFunc(hostNames(6), func(h string) bool { return dataCentreOf(h) == "dc-c" })
				owners := quota.RankOwners(queryRate+" "+w.Name, hosts)
				for dataCentreOf(owners[0]) == dataCentreOf(owners[1]) {
					w.Name += "x"
					owners = quota.RankOwners(queryRate+" "+w.Name, hosts)
				}
				down := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool {
					return h == owners[0] || dataCentreOf(h) != dataCentreOf(owners[0])
				})
				f := newLimiterFleet(t, w, hosts...)
				stop := make(chan struct{})
				f.send(stop, 40, slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return slices.Contains(down, h) }))
				time.Sleep(7*time.Second + rand.N(time.Second))
				f.cut(func(from, to string) bool {
					return !slices.Contains(down, from) && !slices.Contains(down, to) && !(slices.Contains(owners[:2], from) && slices.Contains(owners[:2], to))
				}, func(string) bool { return false })
				time.Sleep(8 * time.Second)
				close(stop)
				time.Sleep(3 * time.Second) // queries under way end
				most, bound := f.mostInWindow()
				t.Logf("%d granted in a window, bound %.0f", most, bound)
				assert.Check(t, float64(most) <= bound)
			})
		})
	}
}

// The owners of a rate, in one data centre, lose each other, and so do the second one and
// the first witness. Found by the soak's seed 914.
func TestWorkspaceRateHoldsWhereTheFirstWitnessIsCutOffToo(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &routes.Workspace{Name: fmt.Sprintf("ws-%d", seed), Rate: 20, Burst: 20}
				hosts := slices.DeleteFunc(hostNames(6), func(h string) bool { return dataCentreOf(h) == "dc-c" })
				owners := quota.RankOwners(queryRate+" "+w.Name, hosts)
				for dataCentreOf(owners[0]) != dataCentreOf(owners[1]) {
					w.Name += "x"
					owners = quota.RankOwners(queryRate+" "+w.Name, hosts)
				}
				f := newLimiterFleet(t, w, hosts...)
				stop := make(chan struct{})
				f.send(stop, 40, hosts)
				time.Sleep(7*time.Second + rand.N(time.Second))
				f.cut(func(from, to string) bool {
					return from != owners[1] || to == owners[1] || to == owners[3]
				}, func(string) bool { return false })
				time.Sleep(10 * time.Second)
				close(stop)
				time.Sleep(3 * time.Second) // queries under way end
				most, bound := f.mostInWindow()
				t.Logf("%d granted in a window, bound %.0f", most, bound)
				assert.Check(t, float64(most) <= bound)
			})
		})
	}
}
