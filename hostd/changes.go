package hostd

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/gooseberryshed/gooseberryshed/link"
)

// Hosts fetch changes of the two tables from each other's gates. Many hosts ask for
// the same changes at once, above all after a loss of power, over links of a few
// Mbit/s: responses are encoded once for each view, and compressed.

// hostChangesPath is the path at which gates serve host changes. The version
// follows it.
const hostChangesPath = "/gooseberryshed/hosts?after="

// hostChangesAfter returns the changes of hosts after a version.
func (c *Control) hostChangesAfter(after uint64) hostChanges {
	version := c.hostsAt.Load() // read before the view, which is published first
	view := c.View()
	out := hostChanges{Version: max(version, view.hostsVersion)}
	out.Full = after < view.historyStart
	for host, version := range view.hostVersions {
		t, known := view.byHost[host]
		if !known {
			t, known = view.departed[host]
		}
		if k, kept := view.keptHosts[host]; kept {
			t, known = k.copied, k.listed
		}
		switch {
		case version <= after && !out.Full, !known && out.Full:
		case known:
			out.Hosts = append(out.Hosts, hostChange{host, version, &t})
		default:
			out.Hosts = append(out.Hosts, hostChange{Host: host, Version: version})
		}
	}
	return out
}

// operatorChangesPath is the path at which gates serve changes of the operators'
// rows. The version follows it.
const operatorChangesPath = "/gooseberryshed/operator?after="

// operatorChangesAfter returns the changes of the operators' rows after a version.
func (c *Control) operatorChangesAfter(after uint64) operatorChanges {
	version := c.configAt.Load() // read before the view, which is published first
	view := c.View()
	out := operatorChanges{Version: max(version, view.operatorVersion)}
	out.Full = after < view.operatorHistoryStart
	for _, row := range view.operatorRows {
		if row.Version > after || out.Full && !row.Removed {
			out.Rows = append(out.Rows, row)
		}
	}
	return out
}

// hostChanges implements peers.
func (c *gateClient) hostChanges(ctx context.Context, gate string, after uint64) (hostChanges, error) {
	var out hostChanges
	err := c.fetchChanges(ctx, gate, hostChangesPath, after, &out)
	return out, errors.Wrap(err, "fetch host changes")
}

// operatorChanges implements peers. An error is an *elsewhereError if another host is to be asked.
func (c *gateClient) operatorChanges(ctx context.Context, gate string, after uint64) (operatorChanges, error) {
	out, err := c.changesInLine(ctx, gate, after)
	return out, errors.Wrap(err, "fetch changes of the operators' rows")
}

// changesKey is a request for changes.
type changesKey struct {
	path  string
	after uint64
	// base is the digest of the document that the asker has, for the form of package changes.
	base string
}

// encodedChanges holds the encoded responses for one view.
type encodedChanges struct {
	mu    sync.Mutex
	view  *View
	byKey map[changesKey][]byte
	// passed are changes that this host has fetched and may not have applied yet, or nil.
	passed *encodedResponse
}

// encodedResponse is a response in the form of package changes.
type encodedResponse struct {
	key     changesKey
	version uint64
	data    []byte
	// confirm is set if its sender is to be told that this host has it.
	confirm bool
}

// pass keeps changes that have just been fetched for other hosts that ask for the same.
func (e *encodedChanges) pass(r *encodedResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passed = r
}

// passOn returns the response to a request from changes that are newer than a version and have
// been fetched, with their version.
func (e *encodedChanges) passOn(key changesKey, newerThan uint64) (data []byte, version uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.passed != nil && e.passed.version <= newerThan {
		e.passed = nil // applied
	}
	if e.passed == nil || e.passed.key != key {
		return nil, 0, false
	}
	return e.passed.data, e.passed.version, true
}

// maxEncodedChanges bounds the responses kept. Hosts ask for the changes after a few
// different versions.
const maxEncodedChanges = 16

// get returns the response to a request. encode makes it if there is none.
func (e *encodedChanges) get(view *View, key changesKey, encode func() ([]byte, error)) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view != view || len(e.byKey) >= maxEncodedChanges {
		e.view, e.byKey = view, map[changesKey][]byte{}
	}
	if data, ok := e.byKey[key]; ok {
		return data, nil
	}
	data, err := encode()
	if err != nil {
		return nil, err
	}
	e.byKey[key] = data
	return data, nil
}

// serveChanges handles a request for changes. It returns false for other requests.
func (c *Control) serveChanges(req *fasthttp.Request, resp *fasthttp.Response) bool {
	key, ok, err := parseChangesKey(string(req.Header.RequestURI()))
	if !ok {
		return false
	}
	if err != nil {
		resp.SetStatusCode(fasthttp.StatusBadRequest)
		return true
	}
	encode := func() ([]byte, error) {
		if key.path == hostChangesPath {
			return json.Marshal(c.hostChangesAfter(key.after))
		}
		return json.Marshal(c.operatorChangesAfter(key.after))
	}
	var data []byte
	if req.Header.HasAcceptEncoding("gzip") {
		resp.Header.SetContentEncoding("gzip")
		data, err = c.encoded.get(c.View(), key, func() ([]byte, error) {
			data, err := encode()
			return fasthttp.AppendGzipBytesLevel(nil, data, fasthttp.CompressBestSpeed), err
		})
	} else {
		data, err = encode()
	}
	if err != nil {
		c.log.Logger().Error("changes cannot be encoded", "path", key.path, "after", key.after, "err", err)
		resp.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	}
	resp.Header.SetContentType("application/json")
	resp.SetBodyRaw(data)
	return true
}

// parseChangesKey returns false if the URI is not that of a request for changes.
func parseChangesKey(uri string) (key changesKey, ok bool, err error) {
	for _, path := range []string{hostChangesPath, operatorChangesPath} {
		if after, found := strings.CutPrefix(uri, path); found {
			version, err := strconv.ParseUint(after, 10, 64)
			return changesKey{path: path, after: version}, true, err
		}
	}
	return changesKey{}, false, nil
}

// crashReports fetches the deaths of targets that a gate's host knows.
func (c *gateClient) crashReports(ctx context.Context, gate string) (crashReports, error) {
	var out crashReports
	err := c.fetch(ctx, gate, crashReportsPath, &out)
	return out, errors.Wrap(err, "fetch reports of deaths")
}

// fetchChanges decodes the changes after a version at a gate into out.
func (c *gateClient) fetchChanges(ctx context.Context, gate, path string, after uint64, out any) error {
	return c.fetch(ctx, gate, path+strconv.FormatUint(after, 10), out)
}

// fetch decodes the JSON document at a URI of a gate into out.
func (c *gateClient) fetch(ctx context.Context, gate, uri string, out any) error {
	_, body, err := c.get(ctx, gate, uri, "")
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode")
}

// get returns the response to a request for a URI of a gate, with its body decompressed. line is
// the header headerChanges of the request, if it is not empty.
func (c *gateClient) get(ctx context.Context, gate, uri, line string) (*link.Response, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(uri)
	req.Header.SetHost(gate)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if line != "" {
		req.Header.Set(headerChanges, line)
	}
	resp, err := c.links.Do(ctx, gate, req, link.RequestOptions{})
	if err != nil {
		return nil, nil, err
	}
	body, err := readWhole(resp, c.memory)
	if err != nil {
		return nil, nil, err
	}
	if status := resp.Header.StatusCode(); status != fasthttp.StatusOK {
		if to := resp.Header.Peek(headerChanges); status == fasthttp.StatusServiceUnavailable && to != nil {
			return nil, nil, errors.WithStack(readElsewhere(to))
		}
		return nil, nil, errors.Errorf("gate %s answered with status %d", gate, status)
	}
	if string(resp.Header.ContentEncoding()) == "gzip" {
		if body, err = fasthttp.AppendGunzipBytes(nil, body); err != nil {
			return nil, nil, errors.Wrap(err, "decompress")
		}
	}
	return resp, body, nil
}
