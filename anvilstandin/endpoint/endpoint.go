// Package endpoint simulates endpoints over HTTP: model engines, members of stage
// pools and plain services. Each endpoint has a listener of its own; all endpoints
// of a service run in one process, so that the service has a single execution
// log. Faults are switched on with POST /fault.
package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ServiceConfig describes a service.
type ServiceConfig struct {
	Name string
	// Kind is "engine", "pool" or "service".
	Kind string
	// Concurrency is the number of calls that an endpoint runs at a time.
	Concurrency int
	// Deduplicate makes the service answer a repeated call from the outputs that
	// it keeps, without executing it again.
	Deduplicate bool
	// CallMillis is the mean service time of a call, or for an engine of
	// processing a prompt.
	CallMillis float64
	// TokenMillis is an engine's mean time for each token of the only stream it runs.
	TokenMillis float64
}

// Service is what all endpoints of one service share.
type Service struct {
	ServiceConfig

	mutex      sync.Mutex
	executions []Execution
	// outputs holds the output of each executed call by request key and stage.
	outputs map[string]string
}

// Execution is one call in a service's execution log.
type Execution struct {
	Key      string    `json:"key"`
	Stage    string    `json:"stage"`
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
}

// Faults are the switchable faults of one endpoint.
type Faults struct {
	// SlowFactor multiplies every service time; 0 and 1 mean normal.
	SlowFactor float64 `json:"slow"`
	// FailShare is the share of calls that run and then return status 500.
	FailShare float64 `json:"failShare"`
	// BreakShare is the share of calls whose connection is closed after they ran,
	// or in a stream before one of its tokens.
	BreakShare float64 `json:"breakShare"`
	// Leaving makes the endpoint decline new calls as not run.
	Leaving bool `json:"leaving"`
	// DownMillis makes the endpoint crash and stay down for that time.
	DownMillis int `json:"downMillis"`
	// FreezeMillis makes calls that arrive within that time wait until it is over.
	FreezeMillis int `json:"freezeMillis"`
}

// Endpoint is one simulated endpoint.
type Endpoint struct {
	Name    string
	Address string
	service *Service

	mutex          sync.Mutex
	faults         Faults
	frozenUntil    time.Time
	runningCalls   int
	waitingCalls   int
	slots          *prioritySemaphore
	server         *http.Server
	cachedPrefixes map[string]bool
	lastReport     loadReport
	cacheEvents    cacheEventLog
}

// loadReport is the number of an endpoint's running and waiting calls. It is up to
// loadReportInterval old.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

const (
	loadReportInterval = 200 * time.Millisecond
	// defaultDowntime applies to crashes that a prompt causes.
	defaultDowntime = 1500 * time.Millisecond
	// cachedPrefixBytes is the length of the prompt prefixes that are cached.
	cachedPrefixBytes = 48
	// maxCachedPrefixes is the number of prefixes at which the cache is cleared.
	maxCachedPrefixes = 64
	// prefixSavingShare is the share of the prompt processing time that a cached
	// prefix saves.
	prefixSavingShare = 0.6
	// slowdownSharePerStream is the share of the token time that each additional
	// stream adds to it.
	slowdownSharePerStream = 0.08
	// queueTimeout is the longest time that a call waits for a slot.
	queueTimeout = 10 * time.Second
)

// NewEndpoint returns an endpoint that does not listen yet.
func NewEndpoint(s *Service, name, address string) *Endpoint {
	return &Endpoint{Name: name, Address: address, service: s, slots: newPrioritySemaphore(s.Concurrency), cachedPrefixes: map[string]bool{}}
}

// NewService returns a service with an empty execution log.
func NewService(c ServiceConfig) *Service {
	return &Service{ServiceConfig: c, outputs: map[string]string{}}
}

// Serve listens and, after each simulated crash, listens again with an empty
// prefix cache once the downtime is over. It returns only with an error.
func (e *Endpoint) Serve() error {
	go e.publishLoad()
	for {
		listener, err := net.Listen("tcp", e.Address)
		if err != nil {
			return fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		server := &http.Server{Handler: e.handler()}
		e.mutex.Lock()
		e.server = server
		e.mutex.Unlock()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		e.mutex.Lock()
		downtime := defaultDowntime
		if e.faults.DownMillis > 0 {
			downtime = time.Duration(e.faults.DownMillis) * time.Millisecond
			e.faults.DownMillis = 0
		}
		e.cachedPrefixes = map[string]bool{}
		e.cacheEvents.add("")
		e.mutex.Unlock()
		time.Sleep(downtime)
	}
}

// crash closes the listener and all connections; Serve listens again later.
func (e *Endpoint) crash() {
	e.mutex.Lock()
	server := e.server
	e.mutex.Unlock()
	_ = server.Close()
}

func (e *Endpoint) publishLoad() {
	for {
		time.Sleep(loadReportInterval)
		e.mutex.Lock()
		e.lastReport = loadReport{Running: e.runningCalls, Waiting: e.waitingCalls}
		e.mutex.Unlock()
	}
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.withAdmission(e.complete))
	mux.HandleFunc("POST /run", e.withAdmission(e.runPool))
	mux.HandleFunc("POST /call", e.withAdmission(e.callService))
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.lastLoadReport()) })
	mux.HandleFunc("GET /cacheEvents", e.cacheEvents.serveEvents)
	mux.HandleFunc("GET /books", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.service.Executions()) })
	mux.HandleFunc("POST /fault", e.setFaults)
	return mux
}

func (e *Endpoint) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	e.faults = f
	if f.FreezeMillis > 0 {
		e.frozenUntil = time.Now().Add(time.Duration(f.FreezeMillis) * time.Millisecond)
	}
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
	if f.DownMillis > 0 {
		go e.crash()
	}
}

// withAdmission wraps the handler of a call: it applies the faults that act
// before a call runs, waits for a slot, and declines the call as not run if the
// endpoint is leaving or no slot becomes free in time.
func (e *Endpoint) withAdmission(handle func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, frozenUntil := e.currentFaults()
		if f.Leaving {
			w.Header().Set("X-Not-Run", "true")
			w.Header().Set("X-Leaving", "true")
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Until(frozenUntil))
		if !e.acquireSlot(r) {
			w.Header().Set("X-Not-Run", "true")
			http.Error(w, "queue full", http.StatusServiceUnavailable)
			return
		}
		defer e.releaseSlot()
		handle(w, r, f)
	}
}

func (e *Endpoint) currentFaults() (Faults, time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults, e.frozenUntil
}

// acquireSlot waits for a slot and reports whether it got one within queueTimeout.
func (e *Endpoint) acquireSlot(r *http.Request) bool {
	e.adjustCallCounts(0, 1)
	defer e.adjustCallCounts(0, -1)
	ctx, cancel := context.WithTimeout(r.Context(), queueTimeout)
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.slots.acquire(ctx, priority) {
		return false
	}
	e.adjustCallCounts(1, 0)
	return true
}

func (e *Endpoint) releaseSlot() {
	e.slots.release()
	e.adjustCallCounts(-1, 0)
}

func (e *Endpoint) adjustCallCounts(running, waiting int) {
	e.mutex.Lock()
	e.runningCalls += running
	e.waitingCalls += waiting
	e.mutex.Unlock()
}

func (e *Endpoint) lastLoadReport() loadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastReport
}

// simulateWork sleeps for a mean service time, multiplied by the slow factor and
// a random factor of 0.8 to 1.2, and returns the time slept in milliseconds.
func simulateWork(millis float64, f Faults) float64 {
	if f.SlowFactor > 0 {
		millis *= f.SlowFactor
	}
	millis *= 0.8 + 0.4*rand.Float64()
	time.Sleep(time.Duration(millis * float64(time.Millisecond)))
	return millis
}

// injectFailure ends the given shares of calls with an error or a closed
// connection after they ran. It reports whether it did.
func (e *Endpoint) injectFailure(w http.ResponseWriter, f Faults) bool {
	if rand.Float64() < f.FailShare {
		http.Error(w, "failed while running", http.StatusInternalServerError)
		return true
	}
	if rand.Float64() < f.BreakShare {
		closeConnection(w)
		return true
	}
	return false
}

// closeConnection closes the connection, without a response or in the middle of
// one.
func closeConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// Executions returns a copy of the execution log.
func (s *Service) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Execution{}, s.executions...)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
