package retry

import "sync/atomic"

const (
	// DefaultRatio is the number of retries that each first attempt adds to the
	// budget.
	DefaultRatio = 0.2
	// DefaultReserve is the capacity of the budget in retries.
	DefaultReserve = 10

	// tokenScale is the number of token units per retry.
	tokenScale = 1000
)

// Budget bounds the retries of one service at one ingress. It is safe for
// concurrent use.
type Budget struct {
	tokens   atomic.Int64 // in units of 1/tokenScale of a retry
	ratio    int64
	capacity int64
}

// NewBudget returns a full budget. Zero arguments select the defaults.
func NewBudget(ratio float64, reserve int) *Budget {
	if ratio <= 0 {
		ratio = DefaultRatio
	}
	if reserve <= 0 {
		reserve = DefaultReserve
	}
	b := &Budget{ratio: int64(ratio * tokenScale), capacity: int64(reserve) * tokenScale}
	b.tokens.Store(b.capacity)
	return b
}

// Deposit adds the share of one first attempt.
func (b *Budget) Deposit() {
	for {
		old := b.tokens.Load()
		next := min(old+b.ratio, b.capacity)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// Charge takes a share of a retry that is made in any case, also if the budget has none. It
// reports whether the debt has reached the bound; the share is then not taken.
func (b *Budget) Charge(share float64, maxDebt int) (overdrawn bool) {
	units := int64(share * tokenScale)
	for {
		old := b.tokens.Load()
		if old-units < -int64(maxDebt)*tokenScale {
			return true
		}
		if b.tokens.CompareAndSwap(old, old-units) {
			return false
		}
	}
}

// Refund returns one retry that was taken and not made.
func (b *Budget) Refund() {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(old+tokenScale, b.capacity)) {
			return
		}
	}
}

// Withdraw takes one retry from the budget and reports whether one was
// available.
func (b *Budget) Withdraw() bool {
	for {
		old := b.tokens.Load()
		if old < tokenScale {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokenScale) {
			return true
		}
	}
}
