package endpoint

import (
	"encoding/json"
	"net/http"
	"time"

	"anvilcross/anvilstandin/script"
)

// plainRequest is the body of a call to a member of a stage pool or to a plain
// service.
type plainRequest struct {
	Key   string `json:"key"`
	Stage string `json:"stage"`
	Input string `json:"input"`
}

type plainResponse struct {
	Output string     `json:"output"`
	Millis float64    `json:"millis"`
	Load   loadReport `json:"load"`
}

// readPlainRequest decodes a call. If it cannot, it declines the call as not run
// and returns false.
func readPlainRequest(w http.ResponseWriter, r *http.Request) (plainRequest, bool) {
	var in plainRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return in, false
	}
	return in, true
}

// runPool simulates an encoder, retriever or reranker.
func (e *Endpoint) runPool(w http.ResponseWriter, r *http.Request, f Faults) {
	in, ok := readPlainRequest(w, r)
	if !ok {
		return
	}
	millis := simulateWork(e.service.CallMillis, f)
	if e.injectFailure(w, f) {
		return
	}
	writeJSON(w, plainResponse{Output: script.PoolOutput(in.Stage, in.Input), Millis: millis, Load: e.lastLoadReport()})
}

// callService simulates a plain service, which keeps a log of the calls that it
// executed.
func (e *Endpoint) callService(w http.ResponseWriter, r *http.Request, f Faults) {
	in, ok := readPlainRequest(w, r)
	if !ok {
		return
	}
	output := e.execute(in)
	millis := simulateWork(e.service.CallMillis, f)
	if e.injectFailure(w, f) {
		return
	}
	writeJSON(w, plainResponse{Output: output, Millis: millis, Load: e.lastLoadReport()})
}

// execute appends a call to the execution log and returns its output. A service
// that deduplicates returns the kept output of an earlier call with the same key
// and stage instead.
func (e *Endpoint) execute(in plainRequest) string {
	s := e.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outputKey := in.Key + "/" + in.Stage
	if output, ok := s.outputs[outputKey]; ok && s.Deduplicate {
		return output
	}
	output := script.ServiceOutput(in.Stage, in.Key, in.Input)
	s.outputs[outputKey] = output
	s.executions = append(s.executions, Execution{Key: in.Key, Stage: in.Stage, Endpoint: e.Name, At: time.Now()})
	return output
}
