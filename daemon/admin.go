package daemon

import (
	"encoding/json"
	"expvar"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/gooseberryshed/gooseberryshed/control"
	"github.com/gooseberryshed/gooseberryshed/internal/quiet"
	"github.com/gooseberryshed/gooseberryshed/member"
	"github.com/gooseberryshed/gooseberryshed/report"
)

const adminReadTimeout = 5 * time.Second

// Status is the content of the admin page /status.
type Status struct {
	Host          string `json:"host"`
	DataCentre    string `json:"datacentre"`
	Incarnation   uint64 `json:"incarnation"`
	Revision      uint64 `json:"revision"`
	State         string `json:"state"`
	UpToDate      bool   `json:"in_touch"`
	TableOutage   bool   `json:"table_outage"`
	DataCentreOut bool   `json:"datacentre_out"`
	// Daemons is the number of known members of the fleet, Unreachable that of
	// the members considered unreachable.
	Daemons     int `json:"daemons"`
	Unreachable int `json:"unreachable"`
	// Targets are the targets of this host.
	Targets []member.Target `json:"targets"`
	// Ejected lists the targets that this daemon has ejected.
	Ejected []string `json:"ejected"`
}

func statusOf(snap *control.Snapshot) Status {
	st := Status{
		Host:          snap.Self.Host,
		DataCentre:    snap.Self.DataCentre,
		Incarnation:   snap.Self.Incarnation,
		State:         string(snap.Self.State),
		UpToDate:      snap.UpToDate,
		TableOutage:   snap.TableOutage,
		DataCentreOut: snap.DataCentreOut,
		Daemons:       len(snap.Daemons),
		Unreachable:   len(snap.Unreachable),
		Targets:       snap.Self.Targets,
		Ejected:       snap.Ejected,
	}
	if snap.Config != nil {
		st.Revision = snap.Config.Revision()
	}
	return st
}

// admin serves the admin pages for operators.
type admin struct {
	snapshot func() *control.Snapshot
	recorder *report.Recorder
	counts   func() Counters
}

func (a *admin) serve(l net.Listener) error {
	srv := &fasthttp.Server{
		Handler:               a.handle,
		NoDefaultServerHeader: true,
		ReadTimeout:           adminReadTimeout,
		Logger:                quiet.Logger{},
	}
	return errors.Wrap(srv.Serve(l), "serve admin pages")
}

func (a *admin) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/livez":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		a.ready(ctx)
	case "/status":
		writeJSON(ctx, statusOf(a.snapshot()))
	case "/members":
		writeJSON(ctx, a.snapshot().Daemons)
	case "/counters":
		writeJSON(ctx, a.counts())
	case "/report":
		writeJSON(ctx, a.recorder.Export(time.Now()))
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	default:
		ctx.Error("page not found; available pages: /livez /readyz /status /members /counters /report /debug/vars\n", fasthttp.StatusNotFound)
	}
}

// ready tells load balancers and callers whether this host accepts requests.
func (a *admin) ready(ctx *fasthttp.RequestCtx) {
	snap := a.snapshot()
	reason := notReadyReason(snap)
	if reason == "" {
		ctx.SetBodyString("ok\n")
		return
	}
	ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
}

func notReadyReason(snap *control.Snapshot) string {
	switch {
	case snap.Config == nil:
		return "no configuration loaded yet; check --platform and --peers"
	case snap.Leaving:
		return "leaving"
	case snap.DataCentreOut:
		return "the data centre is out of service"
	case !snap.Joined:
		return "no other member has responded yet"
	case !snap.UpToDate:
		return "no contact with the table or other hosts; check the network"
	}
	return ""
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	enc := json.NewEncoder(ctx)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// publish exports the counters through expvar. A name that is already published,
// as by several daemons in one process, is left unchanged, because expvar panics
// on duplicates.
func publish(name string, counts func() Counters) {
	if expvar.Get(name) != nil {
		return
	}
	expvar.Publish(name, expvar.Func(func() any { return counts() }))
}
