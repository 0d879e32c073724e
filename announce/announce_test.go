package announce_test

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const validBody = `{"name":"a","service":"orders","address":"127.0.0.1:80","incarnation":1,"slots":7,"state":"ready"}`

type receiver struct {
	got []announce.Announcement
	err error
}

func (r *receiver) Announce(a announce.Announcement) error {
	r.got = append(r.got, a)
	return r.err
}

func post(t *testing.T, r announce.Receiver, method, path, body string) (int, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := announce.NewServer(r)
	go srv.Serve(ln) //nolint:errcheck
	defer ln.Close()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + ln.Addr().String() + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	assert.NilError(t, client.Do(req, resp))
	return resp.StatusCode(), string(resp.Body())
}

func TestAccepted(t *testing.T) {
	r := &receiver{}
	status, body := post(t, r, "POST", announce.Path, validBody)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, `{"accepted":true}`)
	assert.DeepEqual(t, r.got, []announce.Announcement{{
		Name: "a", Service: "orders", Address: "127.0.0.1:80", Incarnation: 1, Slots: 7, State: announce.StateReady,
	}})
}

func TestInvalidRequestIsRejectedWithRemedy(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
	}{
		{"method", "GET", announce.Path, "", 405},
		{"path", "POST", "/v2", validBody, 404},
		{"syntax", "POST", announce.Path, "{", 400},
		{"unknown field", "POST", announce.Path, strings.Replace(validBody, "slots", "slot", 1), 400},
		{"two objects", "POST", announce.Path, validBody + validBody, 400},
		{"name", "POST", announce.Path, strings.Replace(validBody, `"a"`, `"a/b"`, 1), 422},
		{"service", "POST", announce.Path, strings.Replace(validBody, "orders", "", 1), 422},
		{"host name", "POST", announce.Path, strings.Replace(validBody, "127.0.0.1", "localhost", 1), 422},
		{"port", "POST", announce.Path, strings.Replace(validBody, ":80", ":0", 1), 422},
		{"incarnation", "POST", announce.Path, strings.Replace(validBody, `"incarnation":1`, `"incarnation":0`, 1), 422},
		{"slots", "POST", announce.Path, strings.Replace(validBody, `"slots":7`, `"slots":0`, 1), 422},
		{"state", "POST", announce.Path, strings.Replace(validBody, "ready", "up", 1), 422},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := &receiver{}
			status, body := post(t, r, tc.method, tc.path, tc.body)
			assert.Equal(t, status, tc.status, body)
			var p announce.Problem
			assert.NilError(t, json.Unmarshal([]byte(body), &p))
			assert.Assert(t, p.Remedy != "" && p.Detail != "" && p.Status == status)
			assert.Equal(t, len(r.got), 0)
		})
	}
}

func TestReceiverErrorIsReturned(t *testing.T) {
	for _, tc := range []struct {
		err    error
		status int
	}{
		{announce.NewProblem(409, "do this", "that"), 409},
		{errors.New("broken"), 500},
	} {
		status, _ := post(t, &receiver{err: tc.err}, "POST", announce.Path, validBody)
		assert.Equal(t, status, tc.status)
	}
}

func TestBodyIsBounded(t *testing.T) {
	_, err := announce.Parse([]byte(validBody + strings.Repeat(" ", announce.MaxBody)))
	assert.ErrorContains(t, err, "smaller")
}
