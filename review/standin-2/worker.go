package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a server of a service: a process that may crash and start again.
type worker struct {
	world   *world
	id      string
	service string
	zone    string
	slots   int
	// handle serves a request that the worker runs.
	handle func(w *worker, out http.ResponseWriter, r *http.Request)
	// list answers GET /api/kv-list; nil stands for a worker that keeps no parts.
	list func(w *worker, out http.ResponseWriter)

	mutex    sync.Mutex
	address  string
	version  string
	born     int64
	sequence int64
	state    string
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	stop     chan struct{}
}

const (
	heartbeat = 1200 * time.Millisecond
	region    = "dolny"
)

func newWorker(world *world, id, service, zone, version string, slots int, handle func(*worker, http.ResponseWriter, *http.Request)) *worker {
	return &worker{world: world, id: id, service: service, zone: zone, version: version, slots: slots, handle: handle, address: world.workerIP + ":0", state: "ready"}
}

// start starts the worker's process at its address and registers it.
func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.address, w.listener, w.up, w.conns = listener.Addr().String(), listener, true, map[net.Conn]bool{}
	w.born, w.sequence, w.running, w.stop = time.Now().UnixMilli(), 0, 0, make(chan struct{})
	stop := w.stop
	w.mutex.Unlock()
	server := &http.Server{Handler: w, ConnState: func(c net.Conn, state http.ConnState) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		switch {
		case state == http.StateClosed || state == http.StateHijacked:
			delete(w.conns, c)
		case w.listener == listener && w.up:
			w.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	if !w.world.store.isSilent() {
		w.register()
	}
	go func() {
		for {
			w.register()
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// register writes the worker's entry; a store that is down does not get it, and is asked again soon.
func (w *worker) register() {
	for w.world.store.isSilent() {
		time.Sleep(100 * time.Millisecond)
		if !w.isUp() {
			return
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return
	}
	w.sequence++
	w.world.store.put("servers/"+w.id, map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state, "cold-remaining-ms": 0, "sequence": w.sequence, "born": w.born})
}

func (w *worker) isUp() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.up
}

// crash ends the worker's process: its connections are reset, and its port refuses new ones.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.stop)
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// currentVersion returns the version of the process that serves now.
func (w *worker) currentVersion() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.version
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		out.Header().Set("Request-Id", id)
	}
	w.mutex.Lock()
	out.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", w.running, w.slots))
	w.running++
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	}()
	switch r.URL.Path {
	case "/health":
		out.Header().Set("Instance-Id", w.id)
		return
	case "/api/report":
		_ = json.NewEncoder(out).Encode(map[string]any{"born": w.born, "waiting": 0, "running": 0, "busy": false, "free-mb": 9, "handles": 0})
		return
	case "/api/kv-list":
		if w.list != nil {
			w.list(w, out)
			return
		}
		_ = json.NewEncoder(out).Encode(map[string]any{"born": w.born, "epoch": 1, "next": 1, "held": []any{}})
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.handle(w, out, r)
}

// reset closes the connection of a request without an answer.
func reset(out http.ResponseWriter) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// results are the results of pieces that stage workers keep, by handle.
type results struct {
	mutex  sync.Mutex
	byName map[string]bool
	last   int
}

func (s *results) add(address string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	handle := fmt.Sprintf("%s/%x", address, 0x5c1e07a2e440+s.last)
	s.byName[handle] = true
	return handle
}

func (s *results) have(handles []string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range handles {
		if !s.byName[h] {
			return false
		}
	}
	return true
}

func (s *results) free(handles []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, h := range handles {
		delete(s.byName, h)
	}
}

// stageHandler returns the handler of a stage worker, which runs one call at a time and lets two
// wait.
func stageHandler(s *results, callTime, pieceTime time.Duration) func(*worker, http.ResponseWriter, *http.Request) {
	var mutex sync.Mutex
	queued := map[string]int{}
	turns := map[string]chan struct{}{}
	return func(w *worker, out http.ResponseWriter, r *http.Request) {
		var call struct {
			Items []struct {
				ID        string   `json:"id"`
				Stage     int      `json:"stage"`
				Piece     int      `json:"piece"`
				Remaining *int64   `json:"remaining-ms"`
				Inputs    []string `json:"inputs"`
			} `json:"items"`
			Handles []string `json:"handles"`
		}
		received := time.Now()
		if json.NewDecoder(r.Body).Decode(&call) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/api/stage-free" {
			s.free(call.Handles)
			return
		}
		mutex.Lock()
		if turns[w.id] == nil {
			turns[w.id] = make(chan struct{}, 1)
		}
		turn := turns[w.id]
		if queued[w.id] >= 3 {
			mutex.Unlock()
			out.Header().Set("Not-Executed", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		queued[w.id]++
		mutex.Unlock()
		defer func() {
			mutex.Lock()
			queued[w.id]--
			mutex.Unlock()
		}()
		select {
		case turn <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-turn }()
		time.Sleep(callTime + time.Duration(len(call.Items))*pieceTime)
		var answers []map[string]string
		for _, item := range call.Items {
			switch {
			case item.Remaining != nil && time.Since(received) > time.Duration(*item.Remaining)*time.Millisecond:
				answers = append(answers, map[string]string{"reason": "late"})
			case !s.have(item.Inputs):
				answers = append(answers, map[string]string{"reason": "gone"})
			default:
				answers = append(answers, map[string]string{"handle": s.add(w.address)})
			}
		}
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"items": answers})
	}
}

// seal returns the signature of a worker's answer.
func seal(w *worker, id string) string { return "3e1b." + w.id + "." + id }

// writeEvent writes event n of a stream.
func writeEvent(out http.ResponseWriter, n int, text string) error {
	if _, err := io.WriteString(out, "id: "+strconv.Itoa(n)+"\ndata: "+text+"\n\n"); err != nil {
		return err
	}
	return http.NewResponseController(out).Flush()
}

// inputsOf returns the handles that a request names.
func inputsOf(r *http.Request) []string {
	if text := r.Header.Get("Inputs"); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}
