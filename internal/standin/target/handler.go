package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryshed/gooseberryshed/internal/pause"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/answer"
	"github.com/gooseberryshed/gooseberryshed/internal/standin/record"
)

const (
	attemptHeader   = "Gooseberryshed-Attempt"
	workspaceHeader = "Gooseberryshed-Workspace"
	// maxBody limits a request body, in bytes.
	maxBody = 4 << 20
	// streamParts is the number of parts of a streamed body.
	streamParts = 8
)

// response is a response before it is written.
type response struct {
	status  int
	attempt string
	body    []byte
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("/", t.serveRequest)
	return mux
}

func (t *Target) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	})
	mux.HandleFunc("POST /secrets", func(w http.ResponseWriter, r *http.Request) {
		var secrets []string
		if err := json.NewDecoder(r.Body).Decode(&secrets); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.mu.Lock()
		t.secrets = secrets
		t.mu.Unlock()
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Runs()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client notices a broken connection by itself.
	_ = json.NewEncoder(w).Encode(v)
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f, setAt := t.currentFaults()
	if !f.healthy(time.Since(setAt)) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// loadReport is the response body of the load endpoint.
type loadReport struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	report := loadReport{InFlight: t.inFlight, Slots: t.opts.Slots}
	if t.faults.ConcurrencyLimit > 0 {
		report.Slots = t.faults.ConcurrencyLimit
	}
	if t.faults.FakeLoad {
		report = loadReport{Slots: t.opts.Slots}
	}
	t.mu.Unlock()
	writeJSON(w, report)
}

// serveRequest executes one request.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	f, setAt := t.currentFaults()
	if f.IgnoreOpenConns && connOpenTime(r.Context()).Before(setAt) {
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return // the body did not arrive completely
	}
	run := t.beginRun(r, body, f)
	if strings.Contains(string(body), CrashMarker) {
		run.Outcome = record.OutcomeCrashed
		t.writeRecord(run)
		t.opts.Crash()
		return
	}
	if f.Shed || f.ConcurrencyLimit > 0 && run.Concurrent > f.ConcurrencyLimit {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		t.finishRun(run, record.OutcomeShed)
		return
	}
	p := f.decide(run.Seq, time.Since(setAt), workTime(r, t.opts.Work))
	if !pause.For(r.Context(), p.work) {
		t.finishRun(run, record.OutcomeCancelled)
		return
	}
	if p.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		t.finishRun(run, record.OutcomeError)
		return
	}
	resp := response{http.StatusOK, run.Attempt, answer.Body(run.RequestID, queryInt(r, "size"))}
	t.finishRun(run, t.sendResponse(w, r, f, resp))
}

// sendResponse writes the response and applies the response faults.
func (t *Target) sendResponse(w http.ResponseWriter, r *http.Request, f Faults, resp response) record.Outcome {
	switch {
	case f.Truncate != "":
		sendTruncated(w, f.Truncate, resp)
		return record.OutcomeTruncated
	case f.ExtraResponse:
		t.sendWithExtra(w, resp)
		return record.OutcomeAnswered
	case f.SwapResponses:
		resp = t.swapResponse(resp)
	}
	w.Header().Set(attemptHeader, resp.attempt)
	chunkDelay := time.Duration(queryInt(r, "chunk_ms")) * time.Millisecond
	if chunkDelay == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	w.WriteHeader(resp.status)
	if !stream(w, r, resp.body, chunkDelay) {
		return record.OutcomeCancelled
	}
	return record.OutcomeAnswered
}

// stream writes body in parts with a delay after each part, or in one piece if
// delay is 0. It returns false if the connection ended.
func stream(w http.ResponseWriter, r *http.Request, body []byte, delay time.Duration) bool {
	if delay == 0 {
		_, err := w.Write(body)
		return err == nil
	}
	size := len(body)/streamParts + 1
	for len(body) > 0 {
		n := min(size, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return false
		}
		body = body[n:]
		if http.NewResponseController(w).Flush() != nil || !pause.For(r.Context(), delay) {
			return false
		}
	}
	return true
}

// swapResponse stores resp for the next request and returns the response to the
// previous request, or resp if there was none.
func (t *Target) swapResponse(resp response) response {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.previous
	t.previous = resp
	if previous.status == 0 {
		return resp
	}
	return previous
}

func workTime(r *http.Request, standard time.Duration) time.Duration {
	if !r.URL.Query().Has("work_ms") {
		return standard
	}
	return time.Duration(queryInt(r, "work_ms")) * time.Millisecond
}

func queryInt(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return n
}
