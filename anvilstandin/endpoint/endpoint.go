// Package endpoint plays back ends over HTTP: one listener for each, all
// endpoints of a service in one process, so that a service's books are in one
// place. Every fault of the brief can be switched on with POST /fault.
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
	Name        string
	Kind        string
	Concurrency int
	// Deduplicate makes the service answer a known key from its books.
	Deduplicate bool
	// CallMillis is the time of a call; for an engine of processing a prompt.
	CallMillis float64
	// TokenMillis is the time of one token of a lone stream.
	TokenMillis float64
}

// Service is what all endpoints of one service share.
type Service struct {
	ServiceConfig

	mutex sync.Mutex
	books []Execution
	known map[string]string
}

// Execution is one executed call in a service's books.
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
	// FailShare is the share of calls that end in an error after running.
	FailShare float64 `json:"failShare"`
	// BreakShare is the share of calls whose reply is cut off after running.
	BreakShare float64 `json:"breakShare"`
	// Leaving declines new calls.
	Leaving bool `json:"leaving"`
	// DownMillis closes the endpoint for a time, as a crash does.
	DownMillis int `json:"downMillis"`
	// FreezeMillis delays every reply until the time is over.
	FreezeMillis int `json:"freezeMillis"`
}

// Endpoint is one back end.
type Endpoint struct {
	Name    string
	Address string
	service *Service

	mutex     sync.Mutex
	faults    Faults
	frozen    time.Time
	running   int
	waiting   int
	slots     *slots
	server    *http.Server
	prefixes  map[string]bool
	published load
	cached    cacheEvents
}

// load is an endpoint's report. What is published lags by loadLag.
type load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

const (
	loadLag       = 200 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	prefixBytes   = 48
	// maxPrefixes bounds the emulated prefix cache.
	maxPrefixes = 64
	// prefixSaving is the share of the prompt time that a cached prefix saves.
	prefixSaving = 0.6
	// batchSlowdown is how much each further stream slows a token down.
	batchSlowdown = 0.08
	waitLimit     = 10 * time.Second
)

// NewEndpoint returns an endpoint that does not listen yet.
func NewEndpoint(s *Service, name, address string) *Endpoint {
	return &Endpoint{Name: name, Address: address, service: s, slots: newSlots(s.Concurrency), prefixes: map[string]bool{}}
}

// NewService returns a service with empty books.
func NewService(c ServiceConfig) *Service {
	return &Service{ServiceConfig: c, known: map[string]string{}}
}

// Serve listens until the process ends, coming back after emulated crashes.
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
		down := crashDowntime
		if e.faults.DownMillis > 0 {
			down = time.Duration(e.faults.DownMillis) * time.Millisecond
			e.faults.DownMillis = 0
		}
		e.prefixes = map[string]bool{}
		e.cached.add("")
		e.mutex.Unlock()
		time.Sleep(down)
	}
}

// crash cuts all connections off and stops listening for a while.
func (e *Endpoint) crash() {
	e.mutex.Lock()
	server := e.server
	e.mutex.Unlock()
	_ = server.Close()
}

func (e *Endpoint) publishLoad() {
	for {
		time.Sleep(loadLag)
		e.mutex.Lock()
		e.published = load{Running: e.running, Waiting: e.waiting}
		e.mutex.Unlock()
	}
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.guard(e.complete))
	mux.HandleFunc("POST /run", e.guard(e.runPool))
	mux.HandleFunc("POST /call", e.guard(e.callService))
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.report()) })
	mux.HandleFunc("GET /cacheEvents", e.cached.show)
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
		e.frozen = time.Now().Add(time.Duration(f.FreezeMillis) * time.Millisecond)
	}
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
	if f.DownMillis > 0 {
		go e.crash()
	}
}

// guard applies the faults and the concurrency limit around a call.
func (e *Endpoint) guard(work func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, frozen := e.currentFaults()
		if f.Leaving {
			w.Header().Set("X-Not-Run", "true")
			w.Header().Set("X-Leaving", "true")
			http.Error(w, "leaving", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Until(frozen))
		if !e.enter(r) {
			w.Header().Set("X-Not-Run", "true")
			http.Error(w, "queue full", http.StatusServiceUnavailable)
			return
		}
		defer e.leave()
		work(w, r, f)
	}
}

func (e *Endpoint) currentFaults() (Faults, time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults, e.frozen
}

func (e *Endpoint) enter(r *http.Request) bool {
	e.count(0, 1)
	defer e.count(0, -1)
	ctx, cancel := context.WithTimeout(r.Context(), waitLimit)
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	if !e.slots.enter(ctx, priority) {
		return false
	}
	e.count(1, 0)
	return true
}

func (e *Endpoint) leave() {
	e.slots.leave()
	e.count(-1, 0)
}

func (e *Endpoint) count(running, waiting int) {
	e.mutex.Lock()
	e.running += running
	e.waiting += waiting
	e.mutex.Unlock()
}

func (e *Endpoint) report() load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.published
}

// busy sleeps for a service time under the faults and returns it.
func busy(millis float64, f Faults) float64 {
	if f.SlowFactor > 0 {
		millis *= f.SlowFactor
	}
	millis *= 0.8 + 0.4*rand.Float64()
	time.Sleep(time.Duration(millis * float64(time.Millisecond)))
	return millis
}

// spoil ends a call that ran as the faults say. It reports whether it did.
func (e *Endpoint) spoil(w http.ResponseWriter, f Faults) bool {
	if rand.Float64() < f.FailShare {
		http.Error(w, "failed while running", http.StatusInternalServerError)
		return true
	}
	if rand.Float64() < f.BreakShare {
		hijack(w)
		return true
	}
	return false
}

// hijack cuts the connection off without a reply.
func hijack(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// Executions returns a copy of the executed calls.
func (s *Service) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Execution{}, s.books...)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
