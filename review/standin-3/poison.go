package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// A request that crashes each worker that begins to run it comes again and again, at any daemon.

const (
	poisonWorkers = 6
	poisonDown    = 3 * time.Second
	// The request comes every slowInterval, slowTimes in all, and then every fastInterval.
	slowInterval = 3200 * time.Millisecond
	slowTimes    = 4
	fastInterval = 1100 * time.Millisecond
	poisonTime   = 98 * time.Second
	// freeCrashes and freeRetries are what the rule allows: so many retries later than the contact
	// time after so many crashes.
	freeCrashes = 3
	freeRetries = 3
)

const poisonPath = "/lookup/bad"

// poisonCase is what the workers and the clients of the case have seen.
type poisonCase struct {
	run      *run
	mutex    sync.Mutex
	arrivals []poisonArrival
	counts   map[string]int
}

// poisonArrival is an arrival of the request at a worker, and the daemon that had got it.
type poisonArrival struct {
	at time.Time
	id string
}

// crashingWorker is a plain worker. Each of its processes has another id.
type crashingWorker struct {
	c       *poisonCase
	number  int
	address string
	mutex   sync.Mutex
	server  *http.Server
	conns   map[net.Conn]bool
	id      string
}

func (w *crashingWorker) begin(l net.Listener) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.id, w.conns = "i-"+newID()[:10], map[net.Conn]bool{}
	w.server = &http.Server{Handler: w.handler(w.id), ConnState: func(c net.Conn, state http.ConnState) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if state == http.StateNew {
			w.conns[c] = true
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.c.run.store.put("servers/"+w.id, entry{Service: "zamowienia", Address: w.address, Zone: zoneNames[w.number%3], Version: "v1", Slots: 6, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
	w.c.run.logf("worker %s starts at %s", w.id, w.address)
}

// crash ends the process. Another one starts later.
func (w *crashingWorker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	id := w.id
	w.c.run.logf("worker %s crashes", id)
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	go func(s *http.Server) { _ = s.Close() }(w.server)
	time.AfterFunc(3*heartbeat, func() { w.c.run.store.remove("servers/" + id) })
	time.AfterFunc(poisonDown, func() {
		for range 100 {
			if l, err := net.Listen("tcp4", w.address); err == nil {
				w.begin(l)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (w *crashingWorker) handler(id string) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		out.Header().Set("Request-Id", request)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			out.Header().Set("Instance-Id", id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			out.Header().Set("Instance-Id", id)
			return
		}
		if r.URL.Path == poisonPath {
			w.c.recordArrival(request, id)
			w.crash()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(workTime)
		out.Header().Set("Response-Seal", request+"."+id)
		out.Header().Set("Server-Load", "1,0,6")
		_, _ = io.WriteString(out, "plaque of "+request)
	})
}

func (c *poisonCase) recordArrival(request, worker string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.arrivals = append(c.arrivals, poisonArrival{at: time.Now(), id: request})
	c.run.logf("request %s, which crashes workers, reaches worker %s; arrival %d", request, worker, len(c.arrivals))
}

func runPoison(r *run) int {
	c := &poisonCase{run: r, counts: map[string]int{}}
	for n := range poisonWorkers {
		l := listen()
		w := &crashingWorker{c: c, number: n, address: l.Addr().String()}
		w.begin(l)
	}
	routes := []routeSpec{{Name: "r-1", Host: host, Prefix: "/lookup/", Kind: "safe", Timeout: 1200, Objective: 200, Priority: 2, Service: "zamowienia", Attempts: 2}}
	r.store.put("op/config", configuration(7, routes, []serviceSpec{{Name: "zamowienia", Health: "/health", Connections: 48}}))
	r.startDaemons(3)
	time.Sleep(contactTime)
	began := time.Now()
	end := began.Add(poisonTime)
	var wait sync.WaitGroup
	for n := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				c.ask(n%3, "/lookup/"+newID())
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		}()
	}
	wait.Add(1)
	go func() {
		defer wait.Done()
		for n := 0; time.Now().Before(end); n++ {
			path := poisonPath
			if !r.trouble {
				path = "/lookup/good"
			}
			c.ask(n%3, path)
			interval := fastInterval
			if n+1 < slowTimes {
				interval = slowInterval
			}
			time.Sleep(interval)
		}
	}()
	wait.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// The sendings of one request of a client count as one retry.
	retries := map[string]bool{}
	for n, a := range c.arrivals {
		if n >= freeCrashes && a.at.After(c.arrivals[freeCrashes-1].at.Add(contactTime)) {
			retries[a.id] = true
			r.logf("arrival %d, of request %s, comes %v after the third crash: retry %d", n+1, a.id, a.at.Sub(c.arrivals[freeCrashes-1].at).Round(time.Millisecond), len(retries))
		}
	}
	r.logf("clients got %v; %d arrivals, %d retries that count, %d are allowed", c.counts, len(c.arrivals), len(retries), freeRetries)
	if len(retries) > freeRetries {
		return broken
	}
	return held
}

// ask sends a request to a daemon.
func (c *poisonCase) ask(daemon int, path string) {
	id := newID()
	request, err := http.NewRequest(http.MethodGet, "http://"+c.run.daemons[daemon].callers+path, nil)
	must(err)
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2500")
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2500 * time.Millisecond}
	response, err := client.Do(request)
	outcome := "no answer"
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		outcome = fmt.Sprint(response.StatusCode)
	}
	if path == poisonPath {
		c.run.logf("client: request %s, which crashes workers, at daemon %d: %s", id, daemon, outcome)
		outcome = "crashing " + outcome
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[outcome]++
}
