package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// result is what a piece has made.
type result struct {
	request      string
	stage, piece int
	holder       *stageProcess
}

// results holds the results of all stage workers, also those that are gone.
type results struct {
	run    *run
	mutex  sync.Mutex
	known  map[string]result
	freed  map[string]bool
	stages []stageSpec
	// pieces holds the number of pieces of each stage of each request.
	pieces map[string][]int
	// broken holds the violations that the workers saw.
	broken []string
}

func newResults(r *run, stages []stageSpec) *results {
	return &results{run: r, known: map[string]result{}, freed: map[string]bool{}, stages: stages, pieces: map[string][]int{}}
}

// add keeps the result of a piece and returns its handle.
func (s *results) add(holder *stageProcess, i stageItem) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	handle := holder.worker.address + "/" + newID()
	s.known[handle] = result{request: i.ID, stage: i.Stage, piece: i.Piece, holder: holder}
	return handle
}

// exists reports whether a result can be fetched.
func (s *results) exists(handle string) bool {
	s.mutex.Lock()
	r, known := s.known[handle]
	freed := s.freed[handle]
	s.mutex.Unlock()
	return known && !freed && r.holder.running()
}

// check checks that inputs are those of all pieces of some stages of a request, each once.
func (s *results) check(what, request string, after []int, inputs []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	want := map[result]bool{}
	for _, stage := range after {
		for piece := range s.pieces[request][stage] {
			want[result{request: request, stage: stage, piece: piece}] = true
		}
	}
	problem := ""
	for _, h := range inputs {
		r, known := s.known[h]
		r.holder = nil
		switch {
		case !known:
			problem = fmt.Sprintf("the input %q is no result", h)
		case !want[r]:
			problem = fmt.Sprintf("the input %q is foreign or comes twice", h)
		}
		delete(want, r)
	}
	if len(want) > 0 {
		problem += fmt.Sprintf("; %d of the inputs are missing", len(want))
	}
	if problem != "" {
		text := fmt.Sprintf("MIXED: %s of request %s is given %q: %s", what, request, inputs, problem)
		s.broken = append(s.broken, text)
		s.run.logf("%s", text)
	}
}

// stageItem is a piece in a call.
type stageItem struct {
	ID        string   `json:"id"`
	Stage     int      `json:"stage"`
	Piece     int      `json:"piece"`
	Remaining int      `json:"remaining-ms"`
	Key       string   `json:"key"`
	Inputs    []string `json:"inputs"`
}

// stageWorker is a worker of a stage. Each of its processes has another id.
type stageWorker struct {
	results       *results
	service, zone string
	number        int
	address       string
	profile       piecesSpec
	mutex         sync.Mutex
	process       *stageProcess
}

// stageProcess is one process of a worker.
type stageProcess struct {
	worker *stageWorker
	id     string
	server *http.Server
	// turns holds an element for each call that is worked on, queue one for each call in all.
	turns, queue chan struct{}
	mutex        sync.Mutex
	ended        bool
	conns        map[net.Conn]bool
	calls        int
	made         int
}

func (p *stageProcess) running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.ended
}

func newStageWorker(s *results, service string, number int, profile piecesSpec) *stageWorker {
	w := &stageWorker{results: s, service: service, zone: zoneNames[number%len(zoneNames)], number: number, profile: profile}
	l := listen()
	w.address = l.Addr().String()
	w.begin(l)
	return w
}

// begin starts a process of the worker and writes its entry.
func (w *stageWorker) begin(l net.Listener) {
	p := &stageProcess{worker: w, id: "i-" + newID()[:10], turns: make(chan struct{}, w.profile.Slots), queue: make(chan struct{}, w.profile.Slots+w.profile.Queue), conns: map[net.Conn]bool{}}
	p.server = &http.Server{Handler: p, ConnState: p.trackConn}
	w.mutex.Lock()
	w.process = p
	w.mutex.Unlock()
	go func() { _ = p.server.Serve(l) }()
	w.results.run.store.put("servers/"+p.id, entry{Service: w.service, Address: w.address, Zone: w.zone, Version: "v1", Slots: w.profile.Slots, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
	w.results.run.logf("worker %s of %s starts at %s", p.id, w.service, w.address)
}

func (p *stageProcess) trackConn(c net.Conn, state http.ConnState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = true
		if p.ended {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// crash ends the process of the worker, with all of its results. Another one starts later. The
// entry of a worker that is silent lapses after three heartbeats.
func (w *stageWorker) crash(down time.Duration) {
	w.mutex.Lock()
	p := w.process
	w.mutex.Unlock()
	p.mutex.Lock()
	p.ended = true
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	p.mutex.Unlock()
	w.results.run.logf("worker %s of %s crashes, for %v; it has made %d results", p.id, w.service, down, p.made)
	_ = p.server.Close()
	time.AfterFunc(3*heartbeat, func() { w.results.run.store.remove("servers/" + p.id) })
	time.AfterFunc(down, func() {
		for range 100 {
			if l, err := net.Listen("tcp4", w.address); err == nil {
				w.begin(l)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (p *stageProcess) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		out.Header().Set("Instance-Id", p.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(p.turns), max(len(p.queue)-len(p.turns), 0), p.worker.profile.Slots))
	switch r.URL.Path {
	case "/health":
		out.Header().Set("Instance-Id", p.id)
	case "/api/report":
		_, _ = fmt.Fprintf(out, `{"waiting":%d,"busy":%v,"free-mb":%d}`, max(len(p.queue)-len(p.turns), 0), len(p.turns) > 0, int(p.worker.profile.Headroom))
	case "/api/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.NewDecoder(r.Body).Decode(&call)
		p.worker.results.free(call.Handles)
		_, _ = out.Write([]byte("{}"))
	case "/api/stage-run":
		p.serveRun(out, r)
	default:
		http.NotFound(out, r)
	}
}

func (s *results) free(handles []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range handles {
		s.freed[h] = true
	}
}

// serveRun works on a call as soon as it is its turn.
func (p *stageProcess) serveRun(out http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []stageItem `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Items) > p.worker.profile.Batch {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case p.queue <- struct{}{}:
	default:
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.queue }()
	arrived := time.Now()
	p.turns <- struct{}{}
	defer func() { <-p.turns }()
	s := p.worker.results
	outcomes := make([]map[string]string, len(call.Items))
	work := millis(p.worker.profile.Call)
	texts := []string{}
	for n, i := range call.Items {
		after := s.stages[i.Stage].After
		texts = append(texts, fmt.Sprintf("%s/%d/%d", i.ID[:6], i.Stage, i.Piece))
		if len(after) > 0 {
			s.check(fmt.Sprintf("piece %d of stage %d", i.Piece, i.Stage), i.ID, after, i.Inputs)
		}
		switch {
		case i.Remaining > 0 && time.Since(arrived) > time.Duration(i.Remaining)*time.Millisecond:
			outcomes[n] = map[string]string{"reason": "late"}
		case slices.ContainsFunc(i.Inputs, func(h string) bool { return !s.exists(h) }):
			outcomes[n] = map[string]string{"reason": "gone"}
		default:
			work += millis(p.worker.profile.Item)
		}
	}
	s.run.logf("%s of %s begins a call: %s", p.id, p.worker.service, strings.Join(texts, " "))
	time.Sleep(work)
	if !p.running() {
		panic(http.ErrAbortHandler)
	}
	gone := 0
	for n, i := range call.Items {
		if outcomes[n] != nil {
			gone++
			continue
		}
		handle := s.add(p, i)
		p.mutex.Lock()
		p.made++
		p.mutex.Unlock()
		outcomes[n] = map[string]string{"handle": handle}
		time.AfterFunc(time.Duration(p.worker.profile.Handle*float64(time.Second)), func() { s.free([]string{handle}) })
	}
	s.run.logf("%s of %s ends a call of %d pieces, %d not made", p.id, p.worker.service, len(call.Items), gone)
	_ = json.NewEncoder(out).Encode(map[string]any{"items": outcomes})
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
