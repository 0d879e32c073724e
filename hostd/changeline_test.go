package hostd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/changes"
	"github.com/gooseberryshed/gooseberryshed/decisions"
	"github.com/gooseberryshed/gooseberryshed/metrics"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/spread"
)

// controlWith returns a Control that has applied configurations, with row versions from 1.
func controlWith(documents ...[]byte) *Control {
	c := NewControl("h", "dc", nil, nil, decisions.New(&logBuffer{}), metrics.New())
	for i, data := range documents {
		version := uint64(i + 1)
		c.apply(tableUpdate{table: karpithaz.OperatorTable, full: i == 0, version: version,
			rows: []karpithaz.Row{{Table: karpithaz.OperatorTable, Key: karpithaz.ConfigKey, Version: version, Value: data}}})
	}
	return c
}

// largeDocument is a document that compression hardly makes smaller.
func largeDocument(revision int) []byte {
	var name strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&name, "%x", i*i*2654435761)
	}
	list := append(defaultRoutes(), standin.Route{Name: name.String(), Host: testHost, Prefix: "/large/", Kind: "idempotent", Service: "svc"})
	return standin.EncodeConfig(revision, []string{"svc"}, list, nil)
}

func TestAskerGetsTheDifferenceFromWhatItHas(t *testing.T) {
	first, second := largeDocument(1), largeDocument(2)
	asker, sender := controlWith(first), controlWith(first, second)
	base := asker.knownConfig()
	r, err := sender.answerInLine(t.Context(), changesAsker{Host: "a", Base: base.Digest}, 1)
	assert.NilError(t, err)
	assert.Assert(t, len(r.data) < 500, "%d bytes of %d", len(r.data), len(second))
	assert.Assert(t, r.line == nil)
	got, err := readChanges(r.data, lineAnswer{}, base, 1)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Rows[0].Value), string(second))
	// Without a former document, or with one that the sender does not have, all of it comes.
	for _, digest := range []string{"", "unknown"} {
		r, err := sender.answerInLine(t.Context(), changesAsker{Host: "b", Base: digest}, 0)
		assert.NilError(t, err)
		assert.Assert(t, len(r.data) > smallChanges && r.line.Confirm)
		r.ended(false)
		got, err := readChanges(r.data, *r.line, nil, 0)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Rows[0].Value), string(second))
	}
}

func TestLargeChangesAreGivenToAFewHostsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := controlWith(largeDocument(1))
		type answer struct {
			host string
			r    changesResponse
		}
		answers := make(chan answer, 10)
		ask := func(host string) {
			go func() {
				r, err := c.answerInLine(context.Background(), changesAsker{Host: host}, 0)
				assert.Check(t, err)
				answers <- answer{host, r}
			}()
			synctest.Wait()
		}
		for i := range spread.Width + 3 {
			ask(fmt.Sprint("h", i))
		}
		for range spread.Width {
			a := <-answers
			assert.Assert(t, a.r.data != nil && a.r.line.Confirm)
			a.r.ended(true)
		}
		assert.Equal(t, len(answers), 0)
		c.line.confirm("h0")
		synctest.Wait()
		got := map[string]changesResponse{}
		for range 2 {
			a := <-answers
			got[a.host] = a.r
		}
		assert.Assert(t, got["h2"].data != nil, "the next in the line is served")
		assert.Equal(t, got["h4"].line.To, "h0", "the last one is sent on")
		got["h2"].ended(false)
		synctest.Wait()
		a := <-answers
		assert.Equal(t, a.host, "h3")
		assert.Assert(t, a.r.data != nil, "a response that could not be sent frees its place")
		a.r.ended(false)
		time.Sleep(time.Minute) // h1 does not confirm
		ask("h5")
		assert.Assert(t, (<-answers).r.data != nil)
		ask("h6")
		assert.Assert(t, (<-answers).r.data != nil)
		begun := time.Now()
		ask("h7")
		assert.Equal(t, (<-answers).r.line.To, "h0")
		assert.Equal(t, time.Since(begun), holdTime)
		time.Sleep(time.Minute)
	})
}

// A host that has a notice of a change passes it on as soon as it has fetched it.
func TestChangesArePassedOnBeforeTheyAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := largeDocument(1), largeDocument(2)
		sender, host := controlWith(first, second), controlWith(first)
		host.recordNotice(datagram{Host: "s", ConfigVersion: 2})
		base := host.knownConfig()
		r, err := sender.answerInLine(context.Background(), changesAsker{Host: "h", Base: base.Digest}, 1)
		assert.NilError(t, err)
		got, err := readChanges(r.data, lineAnswer{}, base, 1)
		assert.NilError(t, err)
		done := make(chan changesResponse)
		go func() {
			r, err := host.answerInLine(context.Background(), changesAsker{Host: "a", Base: base.Digest}, 1)
			assert.Check(t, err)
			done <- r
		}()
		time.Sleep(holdTime / 2)
		host.encoded.pass(got.Received)
		host.published.signal()
		passed := <-done
		assert.DeepEqual(t, passed.data, r.data)
		// Nothing comes: the asker is to come again.
		late, err := controlWithNotice(first).answerInLine(context.Background(), changesAsker{Host: "a", Base: base.Digest}, 1)
		assert.NilError(t, err)
		assert.Assert(t, late.data == nil && late.line.To == "")
	})
}

func controlWithNotice(document []byte) *Control {
	c := controlWith(document)
	c.recordNotice(datagram{Host: "s", ConfigVersion: 2})
	return c
}

// During a replacement of the daemons, some know only the former request, and some the former
// response.
func TestChangesBetweenDaemonsOfDifferentVersions(t *testing.T) {
	c := controlWith(largeDocument(1))
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var r fasthttp.Request
		var resp fasthttp.Response
		r.Header.SetRequestURI(req.URL.RequestURI())
		r.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
		c.serveChanges(&r, &resp)
		w.Header().Set("Content-Type", string(resp.Header.ContentType()))
		w.Header().Set("Content-Encoding", "gzip")
		w.Write(resp.Body()) //nolint:errcheck // the client sees the failure
	}))
	defer earlier.Close()
	client := newGateClient("127.0.0.1", newAccount(&karpithaz.Settings{MemoryBytes: 256 << 20, MaxDescriptors: 4000}))
	got, err := client.operatorChanges(t.Context(), strings.TrimPrefix(earlier.URL, "http://"), 0)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Rows[0].Value), string(largeDocument(1)))
	assert.Assert(t, got.Received == nil)
	body, status := getChanges(t, c, operatorChangesPath+"0", true)
	assert.Equal(t, status, fasthttp.StatusOK)
	var out operatorChanges
	assert.NilError(t, json.Unmarshal(body, &out))
	assert.Equal(t, string(out.Rows[0].Value), string(largeDocument(1)))
	_, err = changes.Decode(body, nil)
	assert.Assert(t, err != nil)
}
