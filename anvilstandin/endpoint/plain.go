package endpoint

import (
	"encoding/json"
	"net/http"
	"time"

	"anvilcross/anvilstandin/script"
)

type plainRequest struct {
	Key   string `json:"key"`
	Stage string `json:"stage"`
	Input string `json:"input"`
}

type plainReply struct {
	Output string  `json:"output"`
	Millis float64 `json:"millis"`
	Load   load    `json:"load"`
}

func readPlain(w http.ResponseWriter, r *http.Request) (plainRequest, bool) {
	var in plainRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return in, false
	}
	return in, true
}

// runPool plays an encoder, retriever or reranker.
func (e *Endpoint) runPool(w http.ResponseWriter, r *http.Request, f Faults) {
	in, ok := readPlain(w, r)
	if !ok {
		return
	}
	millis := busy(e.service.CallMillis, f)
	if e.spoil(w, f) {
		return
	}
	writeJSON(w, plainReply{Output: script.PoolOutput(in.Stage, in.Input), Millis: millis, Load: e.report()})
}

// callService plays a plain service, which keeps books of what it executed.
func (e *Endpoint) callService(w http.ResponseWriter, r *http.Request, f Faults) {
	in, ok := readPlain(w, r)
	if !ok {
		return
	}
	output := e.execute(in)
	millis := busy(e.service.CallMillis, f)
	if e.spoil(w, f) {
		return
	}
	writeJSON(w, plainReply{Output: output, Millis: millis, Load: e.report()})
}

// execute enters a call into the books, unless the service checks for
// duplicates and knows the key.
func (e *Endpoint) execute(in plainRequest) string {
	s := e.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := in.Key + "/" + in.Stage
	if output, ok := s.known[name]; ok && s.Deduplicate {
		return output
	}
	output := script.ServiceOutput(in.Stage, in.Key, in.Input)
	s.known[name] = output
	s.books = append(s.books, Execution{Key: in.Key, Stage: in.Stage, Endpoint: e.Name, At: time.Now()})
	return output
}
