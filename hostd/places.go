package hostd

import (
	"slices"
	"sync"
)

// places are the targets that attempts of one request have been offered to and
// have not been refused by.
type places struct {
	mu     sync.Mutex
	list   []place
	closed bool
}

type place struct {
	target, host string
	// life is that of the gate when the request was offered.
	life int64
	// sent is set when the gate has said that the request goes to the target.
	sent bool
}

// close lets no attempt go to another target.
func (p *places) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// enter takes a place unless another attempt has it or no more are given.
func (p *places) enter(t Target, life int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.find(t.ID) >= 0 {
		return false
	}
	p.list = append(p.list, place{target: t.ID, host: t.Host, life: life})
	return true
}

func (p *places) find(target string) int {
	return slices.IndexFunc(p.list, func(x place) bool { return x.target == target })
}

func (p *places) sent(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.find(target); i >= 0 {
		p.list[i].sent = true
	}
}

func (p *places) leave(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.find(target); i >= 0 {
		p.list = slices.Delete(p.list, i, i+1)
	}
}

// now lists the places taken.
func (p *places) now() []place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}
