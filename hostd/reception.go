package hostd

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gooseberryshed/gooseberryshed/transfer"
)

// received is how the rows of a table arrived.
type received struct {
	// bytes are those on the wire, and took is the time from the request to the last one.
	bytes int64
	took  time.Duration
	// tries is the number of requests for this change, of which the last one succeeded.
	tries int64
}

// reception is a request for rows in progress.
type reception struct {
	meter transfer.Meter
	begun time.Time
	tries *atomic.Int64
}

// begin begins a request for rows. tries counts the requests since the last one that
// succeeded.
func (c *Control) begin(ctx context.Context, tries *atomic.Int64) (context.Context, *reception) {
	tries.Add(1)
	r := &reception{begun: time.Now(), tries: tries}
	return transfer.WithMeter(ctx, &r.meter), r
}

// end ends a request that failed with err, or succeeded.
func (r *reception) end(err error) received {
	out := received{bytes: r.meter.Bytes(), took: time.Since(r.begun), tries: r.tries.Load()}
	if err == nil {
		r.tries.Store(0)
	}
	return out
}

// changesInFlight counts the responses with changes that are being sent, and their bytes.
type changesInFlight struct {
	responses, bytes atomic.Int64
}

// begin counts a response and returns a function that ends it.
func (f *changesInFlight) begin(bytes int) func(sent bool) {
	f.responses.Add(1)
	f.bytes.Add(int64(bytes))
	return func(bool) {
		f.responses.Add(-1)
		f.bytes.Add(-int64(bytes))
	}
}
