package suspect

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Report is what one host tells another about a death. It states an age in place of a time,
// so that the clocks of the hosts need not agree.
type Report struct {
	// Target and Incarnation identify the process that died.
	Target      string `json:"t"`
	Incarnation uint64 `json:"i"`
	// AgeMillis is how long ago it died, in milliseconds.
	AgeMillis int64 `json:"a,omitempty"`
	// Requests are the fingerprints that were in flight.
	Requests Fingerprints `json:"f"`
	// Cleared is set if the requests have been served since.
	Cleared bool `json:"x,omitempty"`
}

// Fingerprints is a list of fingerprints. It is encoded as their bytes, in base64, so that
// the requests in flight at a target fit into one datagram.
type Fingerprints []uint64

const fingerprintBytes = 8

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprints) MarshalText() ([]byte, error) {
	data := make([]byte, 0, fingerprintBytes*len(f))
	for _, fp := range f {
		data = binary.BigEndian.AppendUint64(data, fp)
	}
	return base64.StdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprints) UnmarshalText(text []byte) error {
	data, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil || len(data)%fingerprintBytes != 0 {
		return errors.Errorf("%q is not a list of fingerprints of %d bytes each in base64", text, fingerprintBytes)
	}
	*f = nil
	for ; len(data) > 0; data = data[fingerprintBytes:] {
		*f = append(*f, binary.BigEndian.Uint64(data))
	}
	return nil
}

// Reports returns reports of the deaths known, which Apply adds to the registry of another
// host. They name at most limit requests, the most suspected first.
func (r *Registry) Reports(now time.Time, limit int) []Report {
	if r.size.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*trackedEntry, 0, len(r.entries))
	for _, t := range r.entries {
		if !r.expired(now, t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *trackedEntry) int {
		return cmp.Or(cmp.Compare(r.verdict(now, b.Entry).Level, r.verdict(now, a.Entry).Level), compareNewestFirst(a, b))
	})
	type key struct {
		target      string
		incarnation uint64
		at          int64
		cleared     bool
	}
	index := map[key]int{}
	var out []Report
	for _, t := range list[:min(len(list), limit)] {
		for _, d := range t.Deaths {
			k := key{d.Target, d.Incarnation, d.At.UnixMilli(), d.Cleared}
			i, ok := index[k]
			if !ok {
				i = len(out)
				index[k] = i
				out = append(out, Report{Target: d.Target, Incarnation: d.Incarnation, AgeMillis: now.Sub(d.At).Milliseconds(), Cleared: d.Cleared})
			}
			out[i].Requests = append(out[i].Requests, t.Fingerprint)
		}
	}
	return out
}

// Apply adds reports of another host. It returns the fingerprints that are quarantined by
// them and were not before.
func (r *Registry) Apply(now time.Time, reports ...Report) (quarantined []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range reports {
		death := Death{Target: p.Target, Incarnation: p.Incarnation, At: now.Add(-time.Duration(max(p.AgeMillis, 0)) * time.Millisecond), Cleared: p.Cleared}
		for _, fp := range p.Requests {
			before := r.level(now, fp)
			r.join(now, Entry{Fingerprint: fp, Deaths: []Death{death}})
			if r.level(now, fp) == Quarantined && before != Quarantined {
				quarantined = append(quarantined, fp)
			}
		}
	}
	r.evictExcess(now)
	return quarantined
}

// level returns the level of a fingerprint. r.mu must be held.
func (r *Registry) level(now time.Time, fp uint64) Level {
	t, ok := r.entries[fp]
	if !ok {
		return Clear
	}
	return r.verdict(now, t.Entry).Level
}
