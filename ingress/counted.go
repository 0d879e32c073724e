package ingress

import (
	"io"
	"sync"
)

// countedBody calls end once when it is closed.
type countedBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}
