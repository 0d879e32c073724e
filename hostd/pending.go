package hostd

import (
	"slices"
	"sync"
)

// pendingOffers are the offers of one request that gates have not refused.
type pendingOffers struct {
	mu     sync.Mutex
	offers []pendingOffer
	closed bool
}

type pendingOffer struct {
	target, host string
	// incarnation is that of the gate when the request was offered.
	incarnation int64
	// sent is set when the gate has reported that it is sending the request to
	// the target.
	sent bool
}

// close prevents further offers.
func (p *pendingOffers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// add records an offer. It returns false if the target's host already has one or if
// pendingOffers is closed.
func (p *pendingOffers) add(t Target, incarnation int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	atHost := func(x pendingOffer) bool { return x.host == t.Host }
	if p.closed || slices.ContainsFunc(p.offers, atHost) {
		return false
	}
	p.offers = append(p.offers, pendingOffer{target: t.ID, host: t.Host, incarnation: incarnation})
	return true
}

func (p *pendingOffers) index(target string) int {
	return slices.IndexFunc(p.offers, func(x pendingOffer) bool { return x.target == target })
}

func (p *pendingOffers) markSent(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.index(target); i >= 0 {
		p.offers[i].sent = true
	}
}

func (p *pendingOffers) remove(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.index(target); i >= 0 {
		p.offers = slices.Delete(p.offers, i, i+1)
	}
}

// snapshot returns a copy of the offers.
func (p *pendingOffers) snapshot() []pendingOffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.offers)
}
