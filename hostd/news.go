package hostd

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/outbox"
)

// news returns what a host is told. It is called for each transmission, as it may state ages.
type news func() datagram

// errNotUnderstood reports that a host of an earlier version has answered.
var errNotUnderstood = errors.New("the host does not know this kind of datagram; it runs an earlier version")

// newOutbox returns the outbox of what other hosts are told.
func newOutbox(view func() *View, query func(context.Context, string, datagram) (datagram, error), m *metrics.Registry) *outbox.Outbox[news] {
	return outbox.New(outbox.Options[news]{
		Send: func(ctx context.Context, host string, n news) error {
			t, version := view().row(host)
			if version == 0 {
				return errNoAnswer
			}
			q := n()
			q.To = t.Host
			a, err := query(ctx, t.Control, q)
			if err == nil && !a.Result {
				return errNotUnderstood
			}
			return err
		},
		Listed: func(host string) bool {
			_, version := view().row(host)
			return version != 0
		},
		OnDropped: func(string, news) { m.Add("news_not_told", 1) },
	})
}

// tell tells hosts, except this one, until they have answered.
func (h *Host) tell(hosts []string, n func() datagram, answered func(host string)) {
	others := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == h.settings.Host })
	h.news.Put(others, n, answered)
}
