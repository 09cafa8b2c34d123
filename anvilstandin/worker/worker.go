// Package worker plays the users' workers by their published protocol: plain
// services, stage services and model workers. What each of them ran is written
// into a ledger, which also notes what must never be asked of a worker.
package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Attempt is one request's time at a worker.
type Attempt struct {
	Worker string
	Start  time.Time
	// End is when the worker stopped working on it; zero while it does.
	End time.Time
}

// RequestRecord is what workers saw of one request.
type RequestRecord struct {
	// Arrivals are all visits, Runs those in which the worker began to work.
	Arrivals []Attempt
	Runs     []Attempt
}

// Recorder notes what workers ran.
type Recorder struct {
	mutex    sync.Mutex
	records  map[string]*RequestRecord
	problems []string
}

// NewRecorder returns an empty ledger.
func NewRecorder() *Recorder { return &Recorder{records: map[string]*RequestRecord{}} }

func (l *Recorder) record(request string) *RequestRecord {
	r := l.records[request]
	if r == nil {
		r = &RequestRecord{}
		l.records[request] = r
	}
	return r
}

// RecordArrival notes that a request reached a worker.
func (l *Recorder) RecordArrival(request, worker string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.record(request)
	r.Arrivals = append(r.Arrivals, Attempt{Worker: worker, Start: time.Now()})
}

// RecordRun notes that a worker began to run a request, and returns what to call when
// it stops.
func (l *Recorder) RecordRun(request, worker string) func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.record(request)
	n := len(r.Runs)
	r.Runs = append(r.Runs, Attempt{Worker: worker, Start: time.Now()})
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		r.Runs[n].End = time.Now()
	}
}

// WorkersThatRan returns the workers that ran a request.
func (l *Recorder) WorkersThatRan(request string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var workers []string
	if r := l.records[request]; r != nil {
		for _, v := range r.Runs {
			workers = append(workers, v.Worker)
		}
	}
	return workers
}

// Records returns a copy of all that was noted of requests.
func (l *Recorder) Records() map[string]RequestRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make(map[string]RequestRecord, len(l.records))
	for id, r := range l.records {
		all[id] = RequestRecord{Arrivals: slices.Clone(r.Arrivals), Runs: slices.Clone(r.Runs)}
	}
	return all
}

// RecordProblemf notes something that must not happen.
func (l *Recorder) RecordProblemf(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// Problems returns what must not have happened.
func (l *Recorder) Problems() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.problems...)
}

// Faults are a worker's switchable faults.
type Faults struct {
	// Full declines every request, Broken closes the connection once the
	// request runs, and Unframed ends answers with the connection.
	Full           bool
	Disconnects    bool
	CloseDelimited bool
	// CutAfterEvents closes a stream after so many events; zero for never.
	CutAfterEvents int
}

// Config describes one worker.
type Config struct {
	Name     string
	Recorder *Recorder
	// Tenants maps each API key's tenant name to true.
	Tenants map[string]bool
	// WorkTime is how long a plain request takes.
	WorkTime time.Duration
}

// Worker is what all kinds of workers share.
type Worker struct {
	config Config
	mutex  sync.Mutex
	faults Faults
}

// NewWorker returns a plain worker.
func NewWorker(c Config) *Worker { return &Worker{config: c} }

// SetFaults switches faults.
func (w *Worker) SetFaults(f Faults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
}

func (w *Worker) fault() Faults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}

// Signature is the signature that a worker puts on an answer.
func Signature(worker, request string) string {
	sum := sha256.Sum256([]byte(worker + "/" + request))
	return hex.EncodeToString(sum[:8])
}

// ResponseBody is the answer of a plain worker to a request.
func ResponseBody(request string, body []byte) string {
	return fmt.Sprintf("done %s %x\n", request, sha256.Sum256(body))
}

// admit checks what the system has to send with every request, and declines
// where the worker may not run it.
func (w *Worker) admit(out http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != w.config.Name {
		out.Header().Set("Instance-Id", w.config.Name)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.config.Recorder.RecordArrival(id, w.config.Name)
	if w.fault().Full {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if r.Header.Get("Authorization") != "" {
		w.config.Recorder.RecordProblemf("%s: request %s came with its key", w.config.Name, id)
	}
	if !w.config.Tenants[r.Header.Get("Tenant")] {
		w.config.Recorder.RecordProblemf("%s: request %s has tenant %q", w.config.Name, id, r.Header.Get("Tenant"))
	}
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err != nil || left <= 0 {
		w.config.Recorder.RecordProblemf("%s: request %s has deadline %q", w.config.Name, id, r.Header.Get("Deadline-Ms"))
	}
	return true
}

// ServeHTTP serves a plain request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil || !w.admit(out, r) {
		return
	}
	defer w.config.Recorder.RecordRun(id, w.config.Name)()
	time.Sleep(w.config.WorkTime)
	f := w.fault()
	if f.Disconnects {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Response-Seal", Signature(w.config.Name, id))
	out.Header().Set("Server-Load", "1,0,6")
	if f.CloseDelimited {
		out.Header().Set("Connection", "close")
		out.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = io.WriteString(out, ResponseBody(id, body))
}
