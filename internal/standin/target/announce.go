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

// announcement is the message by which a target announces itself to the daemon
// on its host.
type announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	UptimeMS    int64  `json:"uptime_ms"`
	State       string `json:"state"`
}

// announce sends an announcement to the daemon every announceInterval and on
// each change of the faults. Failures are ignored, as the next announcement
// follows soon.
func (t *Target) announce(ctx context.Context) error {
	if t.opts.Announce == "" {
		return nil
	}
	client := &http.Client{Timeout: announceTimeout}
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		t.announceOnce(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-t.faultsChanged:
		}
	}
}

func (t *Target) announceOnce(ctx context.Context, client *http.Client) {
	f, _ := t.currentFaults()
	if f.StopAnnouncing {
		return
	}
	a := announcement{
		Name:        t.opts.Name,
		Service:     t.opts.Service,
		Address:     t.Addr(),
		Incarnation: t.incarnation,
		Slots:       t.opts.Slots,
		UptimeMS:    time.Since(t.faultsSetAt).Milliseconds(),
		State:       "ready",
	}
	if f.Leaving {
		a.State = "leaving"
	}
	// The daemon may be down or restarting; the next announcement is the retry.
	_ = post(ctx, client, t.opts.Announce+"/v1/targets", a)
}

func post(ctx context.Context, client *http.Client, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create announcement request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("announcement rejected with status %d; check name and service", resp.StatusCode)
	}
	return nil
}
