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
	// maxBody bounds a request body, in bytes.
	maxBody = 4 << 20
	// streamParts is how many parts a streamed body has.
	streamParts = 8
)

// reply is an answer before it is written.
type reply struct {
	status  int
	attempt string
	body    []byte
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("/", t.request)
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
	// The reader notices a cut connection by itself.
	_ = json.NewEncoder(w).Encode(v)
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	f, since := t.current()
	if !f.healthy(time.Since(since)) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// loadReport is the body of the load endpoint.
type loadReport struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	report := loadReport{InFlight: t.inFlight, Slots: t.opts.Slots}
	if t.faults.Bears > 0 {
		report.Slots = t.faults.Bears
	}
	if t.faults.LieLoad {
		report = loadReport{Slots: t.opts.Slots}
	}
	t.mu.Unlock()
	writeJSON(w, report)
}

// request runs one request.
func (t *Target) request(w http.ResponseWriter, r *http.Request) {
	f, since := t.current()
	if f.Silent && openedAt(r.Context()).Before(since) {
		<-r.Context().Done()
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return // never wholly arrived
	}
	run := t.begin(r, body, f)
	if strings.Contains(string(body), CrashMark) {
		run.Outcome = record.OutcomeCrashed
		t.write(run)
		t.opts.Crash()
		return
	}
	if f.Shed || f.Bears > 0 && run.Concurrent > f.Bears {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		t.end(run, record.OutcomeShed)
		return
	}
	todo := f.decide(run.Seq, time.Since(since), workTime(r, t.opts.Work))
	if !pause.For(r.Context(), todo.work) {
		t.end(run, record.OutcomeCancelled)
		return
	}
	if todo.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		t.end(run, record.OutcomeError)
		return
	}
	own := reply{http.StatusOK, run.Attempt, answer.Body(run.RequestID, queryInt(r, "size"))}
	t.end(run, t.send(w, r, f, own))
}

// send writes the answer as the faults say.
func (t *Target) send(w http.ResponseWriter, r *http.Request, f Faults, own reply) record.Outcome {
	switch {
	case f.Truncate != "":
		sendTruncated(w, f.Truncate, own)
		return record.OutcomeTruncated
	case f.Stray:
		t.sendStray(w, own)
		return record.OutcomeAnswered
	case f.Swap:
		own = t.swap(own)
	}
	w.Header().Set(attemptHeader, own.attempt)
	gap := time.Duration(queryInt(r, "chunk_ms")) * time.Millisecond
	if gap == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(own.body)))
	}
	w.WriteHeader(own.status)
	if !stream(w, r, own.body, gap) {
		return record.OutcomeCancelled
	}
	return record.OutcomeAnswered
}

// stream writes body in parts with a pause before each part but the first.
func stream(w http.ResponseWriter, r *http.Request, body []byte, gap time.Duration) bool {
	if gap == 0 {
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
		if http.NewResponseController(w).Flush() != nil || !pause.For(r.Context(), gap) {
			return false
		}
	}
	return true
}

// swap returns the answer of the request before and keeps own for the next.
func (t *Target) swap(own reply) reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.last
	t.last = own
	if before.status == 0 {
		return own
	}
	return before
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
