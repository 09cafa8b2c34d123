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
	"strconv"
	"sync"
	"time"
)

// Ledger notes what workers ran.
type Ledger struct {
	mutex    sync.Mutex
	runs     map[string][]string
	problems []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]string{}} }

// Run notes that a worker began to run a request.
func (l *Ledger) Run(request, worker string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[request] = append(l.runs[request], worker)
}

// Runs returns the workers that ran a request.
func (l *Ledger) Runs(request string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.runs[request]...)
}

// Problem notes something that must not happen.
func (l *Ledger) Problem(format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// Problems returns what must not have happened.
func (l *Ledger) Problems() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.problems...)
}

// Faults are a worker's switchable faults.
type Faults struct {
	// Full declines every request, Broken closes the connection once the
	// request runs, and Unframed ends answers with the connection.
	Full     bool
	Broken   bool
	Unframed bool
	// CutAfter closes a stream after so many events; zero for never.
	CutAfter int
}

// Config describes one worker.
type Config struct {
	Name   string
	Ledger *Ledger
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

// Seal is the signature that a worker puts on an answer.
func Seal(worker, request string) string {
	sum := sha256.Sum256([]byte(worker + "/" + request))
	return hex.EncodeToString(sum[:8])
}

// Body is the answer of a plain worker to a request.
func Body(request string, body []byte) string {
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
	if w.fault().Full {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if r.Header.Get("Authorization") != "" {
		w.config.Ledger.Problem("%s: request %s came with its key", w.config.Name, id)
	}
	if !w.config.Tenants[r.Header.Get("Tenant")] {
		w.config.Ledger.Problem("%s: request %s has tenant %q", w.config.Name, id, r.Header.Get("Tenant"))
	}
	if left, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err != nil || left <= 0 {
		w.config.Ledger.Problem("%s: request %s has deadline %q", w.config.Name, id, r.Header.Get("Deadline-Ms"))
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
	w.config.Ledger.Run(id, w.config.Name)
	time.Sleep(w.config.WorkTime)
	f := w.fault()
	if f.Broken {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Response-Seal", Seal(w.config.Name, id))
	out.Header().Set("Server-Load", "1,0,6")
	if f.Unframed {
		out.Header().Set("Connection", "close")
		out.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = io.WriteString(out, Body(id, body))
}
