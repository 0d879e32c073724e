package ingress

import (
	"io"
	"sync"
)

// closeNotifyBody calls onClose once when the body is closed.
type closeNotifyBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *closeNotifyBody) Close() error {
	b.once.Do(b.onClose)
	return b.ReadCloser.Close()
}
