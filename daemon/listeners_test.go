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
	callerSecret         = "callers-key-5eaf00d"
	clusterSecret        = "cluster-secret-0ddba11"
	oldSecret            = "former-secret-0ddba11"
	unknownKey           = "stray-key-cafe5eed"
	unknownClusterSecret = "stray-secret-cafe5eed"
	// connTimeout bounds how long a listener may keep a bad connection open; it
	// far exceeds all read timeouts.
	connTimeout = 90 * time.Second
)

// syncBuffer is a log buffer shared by several daemons.
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

func startDaemon(t *testing.T, p *standin.Platform, logs io.Writer, host, secrets string, peers ...string) *Daemon {
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

func applyConfig(t *testing.T, p *standin.Platform) {
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
	status, response := sendRaw(t, addr, "GET "+page+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	return status, response
}

// sendRaw sends raw bytes and reads one response. The status is 0 if the server
// closes the connection without a response.
func sendRaw(t *testing.T, addr, raw string) (status int, response string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(connTimeout)))
	io.WriteString(conn, raw) //nolint:errcheck // the server may close the connection early
	return readResponse(t, conn)
}

func readResponse(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		timeout, ok := err.(net.Error)
		assert.Check(t, !ok || !timeout.Timeout(), "the connection was left open")
		return 0, ""
	}
	defer resp.Body.Close()
	var dump bytes.Buffer
	resp.Write(&dump) //nolint:errcheck // a truncated response is returned as far as it was read
	return resp.StatusCode, dump.String()
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

func listenAddresses(d *Daemon) map[string]string {
	return map[string]string{
		"caller": d.listen.caller.Addr().String(), "forward": d.listen.forward.Addr().String(),
		"announce": d.listen.announce.Addr().String(), "admin": d.listen.admin.Addr().String(),
		"rpc": d.listen.rpc.Addr().String(),
	}
}

// TestListenersRejectMalformedInput sends malformed, oversized, endless and slow
// input to each listener of a daemon, which must reject it and keep serving.
func TestListenersRejectMalformedInput(t *testing.T) {
	p := standin.New()
	applyConfig(t, p)
	d := startDaemon(t, p, io.Discard, "h1", clusterSecret)
	awaitReady(t, d)
	t.Run("listeners", func(t *testing.T) {
		for name, addr := range listenAddresses(d) {
			t.Run(name+"/malformed", func(t *testing.T) { t.Parallel(); testMalformed(t, addr) })
			t.Run(name+"/endless", func(t *testing.T) { t.Parallel(); testEndless(t, addr) })
			t.Run(name+"/slow", func(t *testing.T) { t.Parallel(); testSlow(t, addr) })
		}
	})
	status, _ := get(t, listenAddresses(d)["admin"], "/readyz")
	assert.Equal(t, status, 200)
	assert.Equal(t, d.Counters().Restarts, int64(0))
	assert.Equal(t, d.Counters().Ingress.InFlight, int64(0))
}

func testMalformed(t *testing.T, addr string) {
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
		status, response := sendRaw(t, addr, raw)
		assert.Check(t, isRefused(status), "%s: %d %s", name, status, response)
	}
}

// testEndless writes until the server closes the connection.
func testEndless(t *testing.T, addr string) {
	// The largest request body that any listener accepts is 16 MiB; socket
	// buffers take some more.
	const maxBytes = 40 << 20
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
		assert.NilError(t, conn.SetDeadline(time.Now().Add(connTimeout)))
		written, err := io.WriteString(conn, parts[0])
		for err == nil && written < maxBytes {
			var n int
			n, err = io.WriteString(conn, parts[1])
			written += n
		}
		assert.Check(t, err != nil, "%s: %d bytes were accepted", name, written)
		conn.Close()
	}
}

// testSlow sends one byte at a time with pauses; the server must not wait forever.
func testSlow(t *testing.T, addr string) {
	for name, start := range map[string]string{
		"header": "", "body": "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(connTimeout)))
			io.WriteString(conn, start) //nolint:errcheck // the response is checked instead
			stop := make(chan struct{})
			defer close(stop)
			go sendSlowly(conn, stop)
			status, response := readResponse(t, conn)
			assert.Check(t, isRefused(status), "%d %s", status, response)
		})
	}
}

func sendSlowly(conn net.Conn, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / 2)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			io.WriteString(conn, "G") //nolint:errcheck // fails once the server has closed the connection
		}
	}
}

// credentialHeaders are well-formed and malformed header fields that carry secrets.
var credentialHeaders = []string{
	"X-Api-Key: " + callerSecret, "Authorization: Bearer " + callerSecret, "X-Api-Key: " + unknownKey,
	"X-Api-Key: " + callerSecret + "\r\nX-Api-Key: " + unknownKey, "Authorization: Basic " + unknownKey,
	"X-Api-Key : " + callerSecret, "X-Api-Key " + unknownKey, "Gooseberryshed-Signature: " + unknownClusterSecret,
	"X-Api-Key: " + callerSecret + "\r\nIdempotency-Key: a", "X-Api-Key: " + callerSecret + "\r\nContent-Length: x",
}

// sendCredentials sends credentialHeaders to all listeners and returns the
// responses.
func sendCredentials(t *testing.T, addrs map[string]string) string {
	t.Helper()
	var responses strings.Builder
	for _, addr := range addrs {
		for _, fields := range credentialHeaders {
			_, response := sendRaw(t, addr, "POST /o HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+fields+"\r\n\r\n")
			responses.WriteString(response)
		}
	}
	return responses.String()
}

// assertNoSecrets fails if the output contains a secret or its digest.
func assertNoSecrets(t *testing.T, output string) {
	t.Helper()
	for _, secret := range []string{callerSecret, clusterSecret, oldSecret, unknownKey, unknownClusterSecret} {
		sum := sha256.Sum256([]byte(secret))
		for _, form := range []string{secret, hex.EncodeToString(sum[:])} {
			if at := strings.Index(output, form); at >= 0 {
				t.Errorf("%s is exposed: %q", form, output[max(0, at-200):min(len(output), at+100)])
			}
		}
	}
}

// TestStandardErrorContainsNoSecrets guards against libraries that bypass the
// logger and write credentials to standard error.
func TestStandardErrorContainsNoSecrets(t *testing.T) {
	p := standin.New()
	applyConfig(t, p)
	d := startDaemon(t, p, io.Discard, "h1", clusterSecret)
	awaitReady(t, d)
	file, err := os.CreateTemp(t.TempDir(), "stderr")
	assert.NilError(t, err)
	defer file.Close()
	original, err := syscall.Dup(syscall.Stderr)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Dup3(int(file.Fd()), syscall.Stderr, 0))
	sendCredentials(t, listenAddresses(d))
	assert.NilError(t, syscall.Dup3(original, syscall.Stderr, 0))
	assert.NilError(t, syscall.Close(original))
	output, err := os.ReadFile(file.Name())
	assert.NilError(t, err)
	assertNoSecrets(t, string(output))
}

// TestSecretsAreNotExposed sends valid and invalid credentials to all listeners
// and searches all responses, admin pages, logs and errors for secrets.
func TestSecretsAreNotExposed(t *testing.T) {
	p, logs := standin.New(), &syncBuffer{}
	applyConfig(t, p)
	d := startDaemon(t, p, logs, "h1", clusterSecret+","+oldSecret)
	awaitReady(t, d)
	addrs := listenAddresses(d)
	startDaemon(t, p, logs, "h2", unknownClusterSecret, addrs["rpc"]) // cannot join
	var responses strings.Builder
	responses.WriteString(sendCredentials(t, addrs))
	p.SetFault(standin.Fault{Mode: standin.ModeDown})
	_, response := sendRaw(t, addrs["caller"], "POST /o HTTP/1.1\r\nHost: h\r\nIdempotency-Key: b\r\nX-Api-Key: "+callerSecret+"\r\n\r\n")
	responses.WriteString(response)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.rpcServer.Rejected() > 0 {
			return poll.Success()
		}
		return poll.Continue("the daemon with the unknown cluster secret was not rejected yet")
	}, poll.WithTimeout(time.Minute))
	for _, page := range []string{"/status", "/members", "/counters", "/report", "/debug/vars", "/readyz", "/nothing"} {
		_, body := get(t, addrs["admin"], page)
		assert.Assert(t, body != "", page)
		responses.WriteString(body)
	}
	bad := announce.Announcement{Name: "t", Service: "none", Address: "127.0.0.1:1", Incarnation: 1, Slots: 1, State: announce.StateReady}
	body, err := json.Marshal(bad)
	assert.NilError(t, err)
	_, response = sendRaw(t, addrs["announce"], fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announce.Path, len(body), body))
	responses.WriteString(response)
	output := responses.String() + logs.String()
	assert.Assert(t, strings.Contains(output, "application/problem+json") && strings.Contains(logs.String(), "listening"))
	assertNoSecrets(t, output)
	_, err = New(Options{Settings: settings.Settings{ClusterSecret: unknownClusterSecret, CallerListen: "256.0.0.1:1"}, Logger: log.New(logs)})
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), unknownClusterSecret))
}
