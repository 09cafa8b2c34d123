package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeatPeriod = 1200 * time.Millisecond

// worker is a model worker of the platform.
type worker struct {
	id, service, zone, version string
	slots                      int
	eventInterval              time.Duration
	record                     *recorder
	store                      *store
	address                    string
	// onStart is called when a run begins; if it returns true, the worker crashes.
	onStart func(w *worker, r *http.Request) bool
	// onArrival is called when a request has reached the worker.
	onArrival func(w *worker, r *http.Request)
	// writeStream replaces the stream of events if it is set.
	writeStream func(w *worker, out http.ResponseWriter, r *http.Request, first, count int)

	mutex    sync.Mutex
	server   *http.Server
	born     int64
	sequence int64
	state    string
	running  int
	waiting  int
	held     map[string]int
	free     chan struct{}
	stop     chan struct{}
}

// start starts the worker's process: it listens and registers itself.
func (w *worker) start() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.address = listener.Addr().String()
	w.born, w.sequence, w.state = time.Now().UnixMilli(), 0, "ready"
	w.held = map[string]int{}
	w.running, w.waiting = 0, 0
	w.free = make(chan struct{}, w.slots)
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: w}
	server, stop := w.server, w.stop
	w.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.beat()
	go func() {
		ticker := time.NewTicker(heartbeatPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.beat()
			case <-stop:
				return
			}
		}
	}()
	w.record.add("worker %s (version %s) starts at %s", w.id, w.version, w.address)
	return nil
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-w.stop:
		return
	default:
	}
	w.sequence++
	w.store.put("servers/"+w.id, map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state, "cold-remaining-ms": 0, "sequence": w.sequence, "born": w.born})
}

// drain has the worker report that it leaves.
func (w *worker) drain() {
	w.mutex.Lock()
	w.state = "draining"
	w.mutex.Unlock()
	w.beat()
	w.record.add("worker %s reports that it drains", w.id)
}

// crash ends the worker's process: all its connections end, and its memory is lost.
func (w *worker) crash() {
	w.mutex.Lock()
	server := w.server
	select {
	case <-w.stop:
		server = nil
	default:
		close(w.stop)
	}
	w.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (w *worker) isUp(stop chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mutex.Lock()
	stop, free, running, waiting := w.stop, w.free, w.running, w.waiting
	w.mutex.Unlock()
	out.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, w.slots))
	switch r.URL.Path {
	case "/api/kv-list":
		w.listPrompts(out)
		return
	case "/api/report":
		writeJSON(out, map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1, "waiting": waiting, "running": running, "kv-used": 1000, "kv-total": 788441, "handles": 0, "born": w.born})
		return
	case "/health":
		out.Header().Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || r.Method != http.MethodPost {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.onArrival != nil {
		w.onArrival(w, r)
	}
	body := make([]byte, 0, 512)
	buffer := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if err != nil {
			break
		}
	}
	w.count(&w.waiting, 1)
	select {
	case free <- struct{}{}:
		w.count(&w.waiting, -1)
	case <-r.Context().Done():
		w.count(&w.waiting, -1)
		return
	case <-stop:
		w.count(&w.waiting, -1)
		return
	}
	defer func() { <-free }()
	w.count(&w.running, 1)
	defer w.count(&w.running, -1)
	w.record.add("run    %s begins at %s (version %s), Last-Event-Id %q, Resumes %q", id, w.id, w.version, r.Header.Get("Last-Event-Id"), r.Header.Get("Resumes"))
	if w.onStart != nil && w.onStart(w, r) {
		w.record.add("worker %s crashes as it begins to run %s", w.id, id)
		w.crash()
		panic(http.ErrAbortHandler)
	}
	w.hold(r.Header.Get("Prompt-Prefix"))
	_, maxTokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	count, _ := strconv.Atoi(maxTokens)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out.Header().Set("Response-Seal", "seal."+w.id+"."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("Weight-Versions", "1")
	if w.writeStream != nil {
		w.writeStream(w, out, r, last+1, count)
		return
	}
	controller := http.NewResponseController(out)
	for n := last + 1; n <= count; n++ {
		time.Sleep(w.eventInterval)
		if r.Context().Err() != nil || !w.isUp(stop) {
			w.record.add("run    %s is dropped at %s before event %d", id, w.id, n)
			return
		}
		_, _ = fmt.Fprint(out, eventText(w.version, n))
		_ = controller.Flush()
	}
	w.record.add("run    %s ends at %s", id, w.id)
}

// eventText returns an event, which names the software version that made it.
func eventText(version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: version=%s token=%d\n\n", n, version, n)
}

func (w *worker) count(counter *int, by int) {
	w.mutex.Lock()
	*counter += by
	w.mutex.Unlock()
}

// hold keeps the parts of a prompt in the worker's memory.
func (w *worker) hold(prompt string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			w.held[id] = n
		}
	}
}

func (w *worker) listPrompts(out http.ResponseWriter) {
	w.mutex.Lock()
	held := [][]any{}
	for id, tokens := range w.held {
		held = append(held, []any{"", id, tokens, "m"})
	}
	w.mutex.Unlock()
	w.record.add("list   of the prompts at %s: %d parts", w.id, len(held))
	writeJSON(out, map[string]any{"epoch": w.born, "next": len(held), "held": held, "born": w.born})
}
