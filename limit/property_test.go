package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// transfer is a message with tokens from one owner to another.
type transfer struct {
	to, reserved, tokens int
}

// TestTransfersNeverExceedTheBurst lets owners grant and transfer tokens while
// messages are lost, delayed or dropped. It checks all grants against a single
// exact bucket.
func TestTransfersNeverExceedTheBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "owners")
		total := Params{Rate: 3, Capacity: float64(4 * n)}
		part := total.Scale(1 / float64(n))
		now := t0
		level := total.Capacity
		owners := make([]Bucket, n)
		for i := range owners {
			owners[i] = NewBucket(now, part, 0)
		}
		var inTransit []transfer
		owner := func() int { return rapid.IntRange(0, n-1).Draw(t, "owner") }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				now = now.Add(d)
				level = min(total.Capacity, level+total.Rate*d.Seconds())
			},
			"take": func(t *rapid.T) {
				level -= float64(owners[owner()].Take(now, part, rapid.IntRange(1, 9).Draw(t, "n")))
				if level < -tokenEpsilon {
					t.Fatalf("%v tokens granted above rate and burst", -level)
				}
			},
			"fill-and-drain": func(t *rapid.T) {
				now = now.Add(time.Minute)
				level = total.Capacity
				for i := range owners {
					level -= float64(owners[i].Take(now, part, 99))
				}
				if level < -tokenEpsilon {
					t.Fatalf("%v tokens granted above rate and burst", -level)
				}
			},
			"ask": func(t *rapid.T) {
				to, from := owner(), owner()
				if to == from {
					return
				}
				reserved := owners[to].Reserve(now, part, rapid.IntRange(1, 9).Draw(t, "want"))
				tokens := owners[from].TransferOut(now, part, reserved)
				inTransit = append(inTransit, transfer{to: to, reserved: reserved, tokens: tokens})
			},
			"arrive": func(t *rapid.T) {
				if len(inTransit) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")
				m := inTransit[i]
				inTransit = append(inTransit[:i], inTransit[i+1:]...)
				if rapid.Bool().Draw(t, "lost") {
					owners[m.to].Release(m.reserved)
					return
				}
				owners[m.to].Deposit(now, part, m.reserved, m.tokens)
			},
		})
	})
}
