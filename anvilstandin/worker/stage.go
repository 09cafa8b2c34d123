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
	// Address is the worker's host:port; the handles of its results start with it.
	Address string
	// MaxBatch is the largest number of pieces in a call.
	MaxBatch int
	// FreeCapacityMB is the free result capacity that the worker always reports, in
	// megabytes; it does not limit the results that the worker keeps.
	FreeCapacityMB int
	// Results holds the results of all stage workers.
	Results *ResultStore
	// A call takes CallTime, and PieceTime for each of its pieces.
	CallTime  time.Duration
	PieceTime time.Duration
}

// ResultStore holds the results that stage workers keep, by handle. All workers of
// a site share one store, so that a handle can be checked wherever it is used.
type ResultStore struct {
	mutex      sync.Mutex
	byHandle   map[string]Result
	lastHandle int
}

// Result identifies the piece that a result belongs to.
type Result struct {
	Request string
	Stage   int
	Piece   int
}

// NewResultStore returns an empty store.
func NewResultStore() *ResultStore { return &ResultStore{byHandle: map[string]Result{}} }

// Count returns the number of results in the store.
func (s *ResultStore) Count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.byHandle)
}

func (s *ResultStore) add(address string, result Result) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastHandle++
	handle := fmt.Sprintf("%s/%x", address, s.lastHandle)
	s.byHandle[handle] = result
	return handle
}

func (s *ResultStore) free(handle string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byHandle, handle)
}

// checkInputs reports whether all inputs are in the store and are results of the
// request, each given once. If not, the problem says which of these is violated; it
// is "" if an input is only missing.
func (s *ResultStore) checkInputs(request string, handles []string) (found bool, problem string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := map[Result]bool{}
	for _, h := range handles {
		result, ok := s.byHandle[h]
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

// Stage is a stage worker. It runs one call at a time and declines further ones.
type Stage struct {
	config StageConfig
	worker *Worker
	// callSlot holds one element while a call runs.
	callSlot chan struct{}
}

// NewStage returns a stage worker.
func NewStage(c StageConfig) *Stage {
	return &Stage{config: c, worker: NewWorker(c.Config), callSlot: make(chan struct{}, 1)}
}

// SetFaults replaces the worker's faults.
func (s *Stage) SetFaults(f Faults) { s.worker.SetFaults(f) }

// SetRateLimit sets the rate limit that the worker names.
func (s *Stage) SetRateLimit(rate string) { s.worker.SetRateLimit(rate) }

// pieceRequest is a piece of a call: of the request ID, with the piece key of the
// caller for a first stage or the handles of its inputs for a later one.
type pieceRequest struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// pieceOutcome is the handle of a piece's result, or the reason why there is none.
type pieceOutcome struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// ServeHTTP serves calls that run pieces, free results or report the load.
func (s *Stage) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if s.worker.serveHealth(out, r) {
		return
	}
	s.worker.describeItself(out)
	s.config.Recorder.RecordArrival(r.URL.Path, s.config.Name)
	switch r.Method + " " + r.URL.Path {
	case "POST /api/stage-run":
		s.worker.takeCold()
		s.serveRun(out, r)
	case "POST /api/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, h := range call.Handles {
			s.config.Results.free(h)
		}
	case "GET /api/report":
		_, _ = fmt.Fprintf(out, `{"waiting":0,"busy":false,"free-mb":%d}`, s.config.FreeCapacityMB)
	default:
		http.NotFound(out, r)
	}
}

// serveRun runs the pieces of a call and returns their outcomes in the same order.
func (s *Stage) serveRun(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != s.config.Name {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call struct {
		Items []pieceRequest `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Items) > s.config.MaxBatch {
		s.config.Recorder.RecordProblemf("%s: a call of %d pieces that cannot be read: %v", s.config.Name, len(call.Items), err)
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f := s.worker.currentFaults()
	if f.Full {
		s.worker.decline(out)
		return
	}
	select {
	case s.callSlot <- struct{}{}:
		defer func() { <-s.callSlot }()
	default:
		s.worker.decline(out)
		return
	}
	time.Sleep(s.config.CallTime + time.Duration(len(call.Items))*s.config.PieceTime)
	if f.Disconnects {
		panic(http.ErrAbortHandler)
	}
	outcomes := make([]pieceOutcome, len(call.Items))
	for i, p := range call.Items {
		outcomes[i] = s.computePiece(p)
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"items": outcomes})
}

// computePiece checks a piece and stores its result.
func (s *Stage) computePiece(p pieceRequest) pieceOutcome {
	if (p.Key == "") == (len(p.Inputs) == 0) {
		s.config.Recorder.RecordProblemf("%s: piece %s/%d/%d has key %q and %d inputs", s.config.Name, p.ID, p.Stage, p.Piece, p.Key, len(p.Inputs))
	}
	if p.Key != "" && p.Key != PieceKey(p.ID) {
		s.config.Recorder.RecordProblemf("%s: piece of %s has key %q", s.config.Name, p.ID, p.Key)
	}
	found, problem := s.config.Results.checkInputs(p.ID, p.Inputs)
	if problem != "" {
		s.config.Recorder.RecordProblemf("%s: %s", s.config.Name, problem)
	}
	if !found {
		return pieceOutcome{Reason: "gone"}
	}
	return pieceOutcome{Handle: s.config.Results.add(s.config.Address, Result{Request: p.ID, Stage: p.Stage, Piece: p.Piece})}
}

// PieceKey returns the piece key that the simulated callers send with a request.
func PieceKey(request string) string { return "key-" + strings.ToLower(request) }
