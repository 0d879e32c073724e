package admin

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/report"
)

// Limits returns the rate limits of a configuration, which show whether a refusal
// was justified.
func Limits(st configstore.State) []report.Limit {
	var out []report.Limit
	for _, s := range st.Sections {
		for _, w := range s.Section.Workspaces {
			out = append(out, report.Limit{Workspace: w.Name, Rate: float64(w.Rate), Burst: w.Burst})
		}
	}
	return out
}

// BurnReport collects the request counts of all daemons and computes the error
// budget burn report.
func (c Client) BurnReport(ctx context.Context, admins []string, o report.Options) (report.Report, error) {
	f := c.Fleet(ctx, admins)
	exports := make([]report.Export, len(f))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i := range f {
		if f[i].Err != nil {
			continue
		}
		g.Go(func() error {
			f[i].Err = c.Get(ctx, f[i].Admin, PageReport, &exports[i])
			return nil
		})
	}
	_ = g.Wait() // errors are recorded per host
	var responses []report.Export
	for i := range f {
		if f[i].Err == nil {
			responses = append(responses, exports[i])
		}
	}
	if len(responses) == 0 {
		return report.Report{}, errors.Errorf("no daemon returned its request counts; check the admin addresses: %v", firstError(f))
	}
	rep := report.Compute(time.Now(), responses, o)
	rep.Missing = f.Unresponsive()
	return rep, nil
}

func firstError(f Fleet) error {
	for _, h := range f {
		if h.Err != nil {
			return h.Err
		}
	}
	return nil
}
