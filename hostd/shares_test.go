package hostd

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gooseberryshed/gooseberryshed/h1"
	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

// An offer tells what the workspace has used of the service through the sender's host.
// Where there are no workspaces it tells nothing.
func TestOfferTellsRecentUse(t *testing.T) {
	for _, workspaces := range [][]standin.Workspace{nil, {{Name: "w", Key: "k"}, {Name: "v", Key: "l"}}} {
		var told []*recentUse
		g := &scriptedGates{forward: func(_ context.Context, _ Target, f Forward, onSend func()) Reply {
			told = append(told, f.Use)
			onSend()
			time.Sleep(30 * time.Millisecond)
			return replyWithStatus(200)
		}}
		in := newTestIngress(t, g, "h1")
		doc := standin.EncodeConfig(2, []string{"svc"}, defaultRoutes(), workspaces)
		if workspaces == nil {
			doc = standin.EncodeConfigWithoutWorkspaces(2, []string{"svc"}, defaultRoutes())
		}
		cfg, err := karpithaz.DecodeConfig(doc)
		assert.NilError(t, err)
		v := *in.control.View()
		v.Config = cfg
		in.control.view.Store(&v)
		for _, key := range []string{"k", "k", "l"} {
			x := &h1.Exchange{ReceivedAt: time.Now()}
			standin.Call{Attempt: key, Host: testHost, URI: "/read/1", Key: key, Timeout: time.Second}.Write(&x.Request)
			in.Handle(context.Background(), x)
			assert.Equal(t, x.Response.StatusCode(), 200, "%s", x.Response.Body())
		}
		assert.Equal(t, len(told), 3)
		assert.Assert(t, told[0] == nil && told[2] == nil, "the workspace has used nothing")
		if workspaces == nil {
			assert.Assert(t, told[1] == nil)
			continue
		}
		assert.Equal(t, told[1].Host, "self")
		assert.Assert(t, told[1].Millis >= 25 && told[1].Millis < 500, "%d ms", told[1].Millis)
	}
}

// A gate serves the workspace that used less at all gates first. An offer that tells no
// use, of a daemon of an earlier version, counts as one of a workspace without any.
func TestGateServesByToldUse(t *testing.T) {
	target, err := standin.StartTarget("a", "svc", "127.0.0.1:0", 1, 100*time.Millisecond)
	assert.NilError(t, err)
	t.Cleanup(target.Close)
	g, _ := newTestGate(t)
	b := newHeartbeat("a", 1, 1, false)
	b.Address = target.Addr()
	g.applyHeartbeat(b, time.Now())
	var mu sync.Mutex
	var order []string
	var done sync.WaitGroup
	send := func(attempt, workspace string, use *recentUse) {
		f := Forward{Attempt: attempt, Target: "a", Service: "svc", Workspace: workspace, Use: use, TimeLeftMs: 5000, MaxWaitMs: 5000,
			MaxGray: 1, Route: "r", ObjectiveMs: 3000, ObjectiveLeftMs: 3000}
		req := &fasthttp.Request{}
		req.Header.SetHost("h")
		done.Go(func() {
			r := g.Forward(context.Background(), f, req, func() {
				mu.Lock()
				defer mu.Unlock()
				order = append(order, attempt)
			})
			assert.Check(t, r.Answer != nil, "%v", r.Refusal)
		})
		time.Sleep(10 * time.Millisecond)
	}
	send("running", "other", nil)
	send("busy-1", "busy", &recentUse{Host: "h1", Millis: 30_000})
	send("busy-2", "busy", &recentUse{Host: "h2", Millis: 30_000})
	send("small", "small", &recentUse{Host: "h1", Millis: 500})
	send("earlier version", "old", nil)
	done.Wait()
	assert.DeepEqual(t, order, []string{"running", "small", "earlier version", "busy-1", "busy-2"})
}
