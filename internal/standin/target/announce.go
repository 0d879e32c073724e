package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const announceTimeout = 800 * time.Millisecond

// announcement is what a target tells the daemon on its host.
type announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	UptimeMS    int64  `json:"uptime_ms"`
	State       string `json:"state"`
}

// announce tells the daemon of this target once a second and at each change of
// the faults. A daemon that does not answer is told again later.
func (t *Target) announce(ctx context.Context) error {
	if t.opts.Announce == "" {
		return nil
	}
	client := &http.Client{Timeout: announceTimeout}
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		t.announceOnce(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-t.changed:
		}
	}
}

func (t *Target) announceOnce(ctx context.Context, client *http.Client) {
	f, _ := t.current()
	if f.Mute {
		return
	}
	a := announcement{
		Name:        t.opts.Name,
		Service:     t.opts.Service,
		Address:     t.Addr(),
		Incarnation: t.incarnation,
		Slots:       t.opts.Slots,
		UptimeMS:    time.Since(t.since).Milliseconds(),
		State:       "ready",
	}
	if f.Leaving {
		a.State = "leaving"
	}
	// The daemon may be down or restarting; the next announcement follows soon.
	_ = post(ctx, client, t.opts.Announce+"/v1/targets", a)
}

func post(ctx context.Context, client *http.Client, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "marshal")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "post")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("announcement refused with status %d; check name and service", resp.StatusCode)
	}
	return nil
}
