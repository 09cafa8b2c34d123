package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The workers of a service go down and up by turns. They start again with another software version,
// under the ids that they had.

const (
	upgradeWorkers = 4
	upgradeRounds  = 6
	// upgradeDown is how long a worker is down, and upgradePause the time from its start to the
	// end of the next one.
	upgradeDown  = 2 * time.Second
	upgradePause = 500 * time.Millisecond
	// entryLag is the longest time from the start of a worker until its entry is written.
	entryLag = 800 * time.Millisecond
	// upgradeStreams is the number of streams that run at once, of eventCount events each.
	upgradeStreams = 24
	eventCount     = 40
	eventPause     = 100 * time.Millisecond
)

// versionedWorker is a model worker that keeps its id and its address when it starts again.
type versionedWorker struct {
	run     *run
	id      string
	number  int
	address string
	mutex   sync.Mutex
	server  *http.Server
	conns   map[net.Conn]bool
	version string
	// starts counts the processes, so that only the latest one writes its entry.
	starts int
}

func (w *versionedWorker) begin(l net.Listener, version string, entryDelay time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.version, w.conns = version, map[net.Conn]bool{}
	w.starts++
	start := w.starts
	born := time.Now().UnixMilli()
	w.server = &http.Server{Handler: w.handler(version), ConnState: func(c net.Conn, state http.ConnState) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if state == http.StateNew {
			w.conns[c] = true
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.run.logf("worker %s starts with version %s at %s, and writes its entry in %v", w.id, version, w.address, entryDelay)
	time.AfterFunc(entryDelay, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.starts == start {
			w.run.store.put("servers/"+w.id, entry{Service: "kowadlo", Address: w.address, Zone: zoneNames[w.number%3], Version: version, Slots: 128, State: "ready", Sequence: 1, Born: born})
			w.run.logf("worker %s has written its entry with version %s", w.id, version)
		}
	})
}

// end ends the process of the worker.
func (w *versionedWorker) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.run.logf("worker %s of version %s ends", w.id, w.version)
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = w.server.Close()
}

// restart ends the process and starts another one with a version after a while.
func (w *versionedWorker) restart(version string) {
	w.end()
	time.Sleep(upgradeDown)
	for range 100 {
		if l, err := net.Listen("tcp4", w.address); err == nil {
			w.begin(l, version, time.Duration(rand.Int64N(int64(entryLag))))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic("the address of a worker is taken")
}

func (w *versionedWorker) handler(version string) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
			out.Header().Set("Instance-Id", w.id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch r.URL.Path {
		case "/health":
			out.Header().Set("Instance-Id", w.id)
			return
		case "/api/kv-list":
			_, _ = fmt.Fprint(out, `{"epoch":1,"next":1,"held":[]}`)
			return
		}
		id := r.Header.Get("Request-Id")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.run.logf("worker %s, version %s, runs request %s from event %d", w.id, version, id, last+1)
		out.Header().Set("Request-Id", id)
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", id+"."+w.id)
		controller := http.NewResponseController(out)
		for n := last + 1; n <= eventCount; n++ {
			time.Sleep(eventPause)
			if _, err := fmt.Fprintf(out, "id: %d\ndata: word %d by %s\n\n", n, n, version); err != nil || controller.Flush() != nil {
				return
			}
		}
	})
}

// verse is a stream over all tries of its client.
type verse struct {
	first    string
	last     int
	versions map[string]bool
}

func runUpgrade(r *run) int {
	var workers []*versionedWorker
	for n := range upgradeWorkers {
		l := listen()
		w := &versionedWorker{run: r, id: "i-" + newID()[:10], number: n, address: l.Addr().String()}
		w.begin(l, "v1", 0)
		workers = append(workers, w)
	}
	routes := []routeSpec{{Name: "r-1", Host: host, Prefix: "/verse/", Kind: "stream", Timeout: 15000, Objective: 2500, Priority: 0, Service: "kowadlo", Attempts: 2, Sticky: true, Resumable: true, Gap: 400}}
	services := []serviceSpec{{Name: "kowadlo", Health: "/health", Connections: 500, Engine: &engineSpec{Slots: 128, Memory: 788441, Stride: 5}}}
	time.Sleep(100 * time.Millisecond)
	r.store.put("op/config", configuration(7, routes, services))
	r.startDaemons(3)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mutex sync.Mutex
	mixed, streams := 0, 0
	for n := range upgradeStreams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(rand.IntN(eventCount)) * eventPause)
			for {
				select {
				case <-stop:
					return
				default:
				}
				v := readVerse(r, r.daemons[n%len(r.daemons)], r.daemons[(n+1)%len(r.daemons)])
				mutex.Lock()
				streams++
				if len(v.versions) > 1 {
					mixed++
					r.logf("ORDER: stream %s has events of %d versions", v.first, len(v.versions))
				}
				mutex.Unlock()
			}
		}()
	}
	time.Sleep(eventCount * eventPause)
	for round := range upgradeRounds {
		for _, w := range workers {
			if r.trouble {
				w.restart(fmt.Sprintf("v%d", round+2))
				time.Sleep(upgradePause)
			} else {
				time.Sleep(upgradeDown + upgradePause)
			}
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	wait.Wait()
	r.logf("%d streams, %d with events of two versions", streams, mixed)
	if mixed > 2 {
		return broken
	}
	return held
}

// readVerse reads a stream, and takes it up once at another daemon if it breaks off.
func readVerse(r *run, daemons ...*daemon) verse {
	v := verse{versions: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	prompt := newID()
	for try, d := range daemons {
		id := newID()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/verse/2f", strings.NewReader("verse"))
		must(err)
		request.Host = host
		for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "15000", "Authorization": "Bearer " + key, "Model": "m", "Token-Count": "700,200", "Prompt-Prefix": "5c1e07a2:500," + prompt + ":200"} {
			request.Header.Set(name, value)
		}
		if v.last > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(v.last))
			request.Header.Set("Resumes", v.first)
		}
		r.logf("client: request %s at %s, try %d of %s, from event %d", id, d.name, try+1, v.first, v.last+1)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			r.logf("client: request %s: %v", id, err)
			continue
		}
		if response.StatusCode == http.StatusOK {
			if v.first == "" {
				v.first = id
			}
			v.read(r, id, bufio.NewScanner(response.Body))
		}
		_ = response.Body.Close()
		if v.last == eventCount {
			break
		}
		r.logf("client: request %s, %d, has events up to %d", id, response.StatusCode, v.last)
		time.Sleep(300 * time.Millisecond)
	}
	return v
}

// read reads the events of one answer.
func (v *verse) read(r *run, id string, lines *bufio.Scanner) {
	for lines.Scan() {
		text, isData := strings.CutPrefix(lines.Text(), "data: word ")
		if !isData {
			continue
		}
		number, version, _ := strings.Cut(text, " by ")
		v.last, _ = strconv.Atoi(number)
		if !v.versions[version] {
			r.logf("client: request %s, event %d is by version %s", id, v.last, version)
		}
		v.versions[version] = true
	}
}
