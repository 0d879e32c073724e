package daemon

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gooseberryshed/gooseberryshed/announce"
	"github.com/gooseberryshed/gooseberryshed/config"
	"github.com/gooseberryshed/gooseberryshed/configstore"
	"github.com/gooseberryshed/gooseberryshed/platform/standin"
	"github.com/gooseberryshed/gooseberryshed/settings"
)

const (
	callerSecret  = "callers-key-5eaf00d"
	clusterSecret = "cluster-secret-0ddba11"
	oldSecret     = "former-secret-0ddba11"
	strayKey      = "stray-key-cafe5eed"
	strayCluster  = "stray-secret-cafe5eed"
	// doorBound is when a door must have cut off a request at the latest; it
	// exceeds all read timeouts by far.
	doorBound = 90 * time.Second
)

// syncBuffer is a buffer that several daemons log to.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func startDoors(t *testing.T, p *standin.Platform, logs io.Writer, host, secrets string, peers ...string) *Daemon {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	d, err := New(Options{
		Settings: settings.Settings{
			Host: host, DataCentre: "dc", Peers: peers, ClusterSecret: secrets, RateShards: 1, MaxConns: 1000,
			CallerListen: anyPort, ForwardListen: anyPort, RPCListen: anyPort, AnnounceListen: anyPort, AdminListen: anyPort,
		},
		Table: p, Objects: p.Objects(),
		Logger: log.NewWithOptions(logs, log.Options{Level: log.DebugLevel, Formatter: log.LogfmtFormatter}),
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

func applyDoors(t *testing.T, p *standin.Platform) {
	t.Helper()
	sum := sha256.Sum256([]byte(callerSecret))
	section := config.Section{
		Name: "shop", Team: "shop",
		DataCentres: []config.DataCentre{{Name: "dc", Region: "r"}},
		Workspaces: []config.Workspace{{
			Name: "w", Rate: 1000, Burst: 1000, Keys: []config.Key{{ID: "k", SHA256: hex.EncodeToString(sum[:])}},
		}},
		Services: []config.Service{{Name: "s", Timeout: config.Duration(2 * time.Second)}},
		Routes:   []config.Route{{Path: "/o", Service: "s"}, {Path: "/open", Service: "s", Access: config.AccessOpen}},
	}
	_, err := configstore.New(p, p.Objects()).Apply(t.Context(), configstore.Change{
		ID: configstore.NewChangeID(), Author: "a", Edits: []configstore.Edit{{Name: "shop", Section: &section}},
	})
	assert.NilError(t, err)
}

func get(t *testing.T, addr, page string) (int, string) {
	t.Helper()
	status, answer := talk(t, addr, "GET "+page+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	return status, answer
}

// talk sends raw bytes and reads until the door closes the connection or has
// answered once. The status is 0 when there was no answer.
func talk(t *testing.T, addr, raw string) (status int, answer string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(doorBound)))
	io.WriteString(conn, raw) //nolint:errcheck // the door may close early
	return hear(t, conn)
}

func hear(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		timeout, ok := err.(net.Error)
		assert.Check(t, !ok || !timeout.Timeout(), "the connection was left open")
		return 0, ""
	}
	defer resp.Body.Close()
	var whole bytes.Buffer
	resp.Write(&whole) //nolint:errcheck // a broken answer is shown as far as it goes
	return resp.StatusCode, whole.String()
}

func isRefused(status int) bool { return status == 0 || status >= 400 && status < 500 }

func awaitReady(t *testing.T, d *Daemon) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.control.Snapshot().Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(time.Minute))
}

func doorsOf(d *Daemon) map[string]string {
	return map[string]string{
		"caller": d.listen.caller.Addr().String(), "forward": d.listen.forward.Addr().String(),
		"announce": d.listen.announce.Addr().String(), "admin": d.listen.admin.Addr().String(),
		"rpc": d.listen.rpc.Addr().String(),
	}
}

// TestDoorsRefuseBadInput sends malformed, oversized, endless and slow input to
// each door of one daemon, which must go on serving.
func TestDoorsRefuseBadInput(t *testing.T) {
	p := standin.New()
	applyDoors(t, p)
	d := startDoors(t, p, io.Discard, "h1", clusterSecret)
	awaitReady(t, d)
	t.Run("doors", func(t *testing.T) {
		for name, addr := range doorsOf(d) {
			t.Run(name+"/malformed", func(t *testing.T) { t.Parallel(); malformed(t, addr) })
			t.Run(name+"/endless", func(t *testing.T) { t.Parallel(); endless(t, addr) })
			t.Run(name+"/slow", func(t *testing.T) { t.Parallel(); slow(t, addr) })
		}
	})
	status, _ := get(t, doorsOf(d)["admin"], "/readyz")
	assert.Equal(t, status, 200)
	assert.Equal(t, d.Counters().Restarts, int64(0))
	assert.Equal(t, d.Counters().Ingress.InFlight, int64(0))
}

func malformed(t *testing.T, addr string) {
	long := strings.Repeat("x", 1<<20)
	for name, raw := range map[string]string{
		"bytes":             "\x00\x01\xff\xfe\r\n\r\n",
		"tls hello":         "\x16\x03\x01\x00\x05\x01\x00\x00\x01\x00",
		"no version":        "GET /open\r\n\r\n",
		"no colon":          "GET /open HTTP/1.1\r\nHost h\r\n\r\n",
		"space in a name":   "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
		"negative length":   "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\nabc",
		"two lengths":       "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"length overflow":   "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\nabc",
		"announced size":    "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 1099511627776\r\n\r\nabc",
		"bad chunk":         "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"long chunk size":   "POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nabc",
		"long request line": "GET /" + long + " HTTP/1.1\r\nHost: h\r\n\r\n",
		"long header":       "GET /open HTTP/1.1\r\nHost: h\r\nX-A: " + long + "\r\n\r\n",
		"many headers":      "GET /open HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 1<<16) + "\r\n",
	} {
		status, answer := talk(t, addr, raw)
		assert.Check(t, isRefused(status), "%s: %d %s", name, status, answer)
	}
}

// endless writes until the door closes the connection.
func endless(t *testing.T, addr string) {
	// The largest body that any door takes is 16 MiB; the system's buffers
	// come on top.
	const most = 40 << 20
	chunk := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
	for name, parts := range map[string][2]string{
		"body":       {"POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"header":     {"GET /open HTTP/1.1\r\nHost: h\r\n", strings.Repeat("X-A: "+strings.Repeat("y", 100)+"\r\n", 300)},
		"line":       {"GET /", strings.Repeat("z", 0x8000)},
		"extension":  {"POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("e", 0x8000)},
		"trailer":    {"POST /open HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-T: 1\r\n", 0x1000)},
		"empty line": {"", strings.Repeat("\r\n", 0x4000)},
	} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(doorBound)))
		written, err := io.WriteString(conn, parts[0])
		for err == nil && written < most {
			var n int
			n, err = io.WriteString(conn, parts[1])
			written += n
		}
		assert.Check(t, err != nil, "%s: %d bytes were taken", name, written)
		conn.Close()
	}
}

// slow sends a byte from time to time; the door must not wait for ever.
func slow(t *testing.T, addr string) {
	for name, start := range map[string]string{
		"header": "", "body": "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(doorBound)))
			io.WriteString(conn, start) //nolint:errcheck // see below
			stop := make(chan struct{})
			defer close(stop)
			go trickle(conn, stop)
			status, answer := hear(t, conn)
			assert.Check(t, isRefused(status), "%d %s", status, answer)
		})
	}
}

func trickle(conn net.Conn, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / 2)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			io.WriteString(conn, "G") //nolint:errcheck // the door closes it
		}
	}
}

// keyFields carry secrets in proper and broken forms.
var keyFields = []string{
	"X-Api-Key: " + callerSecret, "Authorization: Bearer " + callerSecret, "X-Api-Key: " + strayKey,
	"X-Api-Key: " + callerSecret + "\r\nX-Api-Key: " + strayKey, "Authorization: Basic " + strayKey,
	"X-Api-Key : " + callerSecret, "X-Api-Key " + strayKey, "Gooseberryshed-Signature: " + strayCluster,
	"X-Api-Key: " + callerSecret + "\r\nIdempotency-Key: a", "X-Api-Key: " + callerSecret + "\r\nContent-Length: x",
}

// sendKeys sends the fields to all doors and returns the answers.
func sendKeys(t *testing.T, doors map[string]string) string {
	t.Helper()
	var said strings.Builder
	for _, addr := range doors {
		for _, fields := range keyFields {
			_, answer := talk(t, addr, "POST /o HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+fields+"\r\n\r\n")
			said.WriteString(answer)
		}
	}
	return said.String()
}

// tellsNone looks for secrets and their digests.
func tellsNone(t *testing.T, told string) {
	t.Helper()
	for _, secret := range []string{callerSecret, clusterSecret, oldSecret, strayKey, strayCluster} {
		sum := sha256.Sum256([]byte(secret))
		for _, form := range []string{secret, hex.EncodeToString(sum[:])} {
			if at := strings.Index(told, form); at >= 0 {
				t.Errorf("%s is told: %q", form, told[max(0, at-200):min(len(told), at+100)])
			}
		}
	}
}

// TestStandardErrorTellsNoKeys looks at what libraries write past the logger.
func TestStandardErrorTellsNoKeys(t *testing.T) {
	p := standin.New()
	applyDoors(t, p)
	d := startDoors(t, p, io.Discard, "h1", clusterSecret)
	awaitReady(t, d)
	file, err := os.CreateTemp(t.TempDir(), "stderr")
	assert.NilError(t, err)
	defer file.Close()
	was, err := syscall.Dup(syscall.Stderr)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Dup3(int(file.Fd()), syscall.Stderr, 0))
	sendKeys(t, doorsOf(d))
	assert.NilError(t, syscall.Dup3(was, syscall.Stderr, 0))
	assert.NilError(t, syscall.Close(was))
	told, err := os.ReadFile(file.Name())
	assert.NilError(t, err)
	tellsNone(t, string(told))
}

// TestSecretsAreNotTold uses and misuses secrets at all doors and looks for them
// in everything that a daemon says.
func TestSecretsAreNotTold(t *testing.T) {
	p, logs := standin.New(), &syncBuffer{}
	applyDoors(t, p)
	d := startDoors(t, p, logs, "h1", clusterSecret+","+oldSecret)
	awaitReady(t, d)
	doors := doorsOf(d)
	startDoors(t, p, logs, "h2", strayCluster, doors["rpc"]) // cannot join
	var said strings.Builder
	said.WriteString(sendKeys(t, doors))
	p.SetFault(standin.Fault{Mode: standin.ModeDown})
	_, answer := talk(t, doors["caller"], "POST /o HTTP/1.1\r\nHost: h\r\nIdempotency-Key: b\r\nX-Api-Key: "+callerSecret+"\r\n\r\n")
	said.WriteString(answer)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.rpcServer.Rejected() > 0 {
			return poll.Success()
		}
		return poll.Continue("the stray daemon was not rejected yet")
	}, poll.WithTimeout(time.Minute))
	for _, page := range []string{"/status", "/members", "/counters", "/report", "/debug/vars", "/readyz", "/nothing"} {
		_, body := get(t, doors["admin"], page)
		assert.Assert(t, body != "", page)
		said.WriteString(body)
	}
	bad := announce.Announcement{Name: "t", Service: "none", Address: "127.0.0.1:1", Incarnation: 1, Slots: 1, State: announce.StateReady}
	body, err := json.Marshal(bad)
	assert.NilError(t, err)
	_, answer = talk(t, doors["announce"], fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announce.Path, len(body), body))
	said.WriteString(answer)
	told := said.String() + logs.String()
	assert.Assert(t, strings.Contains(told, "application/problem+json") && strings.Contains(logs.String(), "listening"))
	tellsNone(t, told)
	_, err = New(Options{Settings: settings.Settings{ClusterSecret: strayCluster, CallerListen: "256.0.0.1:1"}, Logger: log.New(logs)})
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), strayCluster))
}
