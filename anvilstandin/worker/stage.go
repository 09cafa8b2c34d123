package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// StageConfig describes a worker of a stage.
type StageConfig struct {
	Config
	// Address is where the worker is reached; it begins its handles.
	Address string
	// MaxBatch is the most pieces of a call, Room how many results it keeps.
	MaxBatch       int
	FreeCapacityMB int
	// Results holds the results of all stage workers.
	Results *ResultStore
	// CallTime and PieceTime are the time of a call.
	CallTime  time.Duration
	PieceTime time.Duration
}

// ResultStore are the results that stage workers keep: handle to piece.
type ResultStore struct {
	mutex sync.Mutex
	made  map[string]Result
	next  int
}

// Result is one piece that was made.
type Result struct {
	Request string
	Stage   int
	Piece   int
}

// NewResultStore returns an empty store.
func NewResultStore() *ResultStore { return &ResultStore{made: map[string]Result{}} }

// Count returns the number of results that are kept.
func (r *ResultStore) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.made)
}

func (r *ResultStore) put(address string, result Result) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.next++
	handle := fmt.Sprintf("%s/%x", address, r.next)
	r.made[handle] = result
	return handle
}

func (r *ResultStore) drop(handle string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.made, handle)
}

// take looks inputs up: they have to be results of the request, each once.
func (r *ResultStore) take(request string, handles []string) (found bool, problem string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := map[Result]bool{}
	for _, h := range handles {
		result, ok := r.made[h]
		switch {
		case !ok:
			return false, ""
		case result.Request != request:
			return false, fmt.Sprintf("request %s got an input of request %s", request, result.Request)
		case seen[result]:
			return false, fmt.Sprintf("request %s got an input twice", request)
		}
		seen[result] = true
	}
	return true, ""
}

// Stage is a worker of a stage. It works on one call at a time.
type Stage struct {
	config StageConfig
	worker *Worker
	turn   chan struct{}
}

// NewStage returns a stage worker.
func NewStage(c StageConfig) *Stage {
	return &Stage{config: c, worker: NewWorker(c.Config), turn: make(chan struct{}, 1)}
}

// SetFaults switches faults.
func (s *Stage) SetFaults(f Faults) { s.worker.SetFaults(f) }

type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

type stageOutcome struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// ServeHTTP serves the stage's calls.
func (s *Stage) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /api/stage-run":
		s.run(out, r)
	case "POST /api/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, h := range call.Handles {
			s.config.Results.drop(h)
		}
	case "GET /api/report":
		_, _ = fmt.Fprintf(out, `{"waiting":0,"busy":false,"free-mb":%d}`, s.config.FreeCapacityMB)
	default:
		http.NotFound(out, r)
	}
}

func (s *Stage) run(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != s.config.Name {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Items) > s.config.MaxBatch {
		s.config.Recorder.RecordProblemf("%s: a call of %d pieces that cannot be read: %v", s.config.Name, len(call.Items), err)
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	default:
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f := s.worker.fault()
	time.Sleep(s.config.CallTime + time.Duration(len(call.Items))*s.config.PieceTime)
	if f.Disconnects {
		panic(http.ErrAbortHandler)
	}
	outcomes := make([]stageOutcome, len(call.Items))
	for i, item := range call.Items {
		outcomes[i] = s.make(item)
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"items": outcomes})
}

func (s *Stage) make(item stageItem) stageOutcome {
	if (item.Key == "") == (len(item.Inputs) == 0) {
		s.config.Recorder.RecordProblemf("%s: piece %s/%d/%d has key %q and %d inputs", s.config.Name, item.ID, item.Stage, item.Piece, item.Key, len(item.Inputs))
	}
	if item.Key != "" && item.Key != PieceKey(item.ID) {
		s.config.Recorder.RecordProblemf("%s: piece of %s has key %q", s.config.Name, item.ID, item.Key)
	}
	found, problem := s.config.Results.take(item.ID, item.Inputs)
	if problem != "" {
		s.config.Recorder.RecordProblemf("%s: %s", s.config.Name, problem)
	}
	if !found {
		return stageOutcome{Reason: "gone"}
	}
	return stageOutcome{Handle: s.config.Results.put(s.config.Address, Result{Request: item.ID, Stage: item.Stage, Piece: item.Piece})}
}

// PieceKey is the piece key that callers of the stand-ins send.
func PieceKey(request string) string { return "key-" + strings.ToLower(request) }
