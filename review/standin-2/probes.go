package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["probes"] = caseEntry{3, probes} }

const (
	// contactTime is contact-ms of the small sites.
	contactTime = 3 * time.Second
	// poisonInterval is the time between two sendings of the request that crashes workers.
	poisonInterval = 2500 * time.Millisecond
	// crashDowntime is how long a worker is down after a crash.
	crashDowntime = 2 * time.Second
	// mostRetries is the number of retries that may reach workers.
	mostRetries = 3
)

// crashRun is a run of the request that crashes workers.
type crashRun struct {
	at time.Time
	id string
}

// probes sends a request that crashes the workers that run it, again and again, while the daemons
// are restarted in turn. After its third crash it may reach workers in three more retries.
func probes(w *world) (int, error) {
	var mutex sync.Mutex
	var crashRuns []crashRun
	restarts := 0
	var handle func(wk *worker, out http.ResponseWriter, r *http.Request)
	add := func(n int) error {
		return newWorker(w, fmt.Sprintf("zamowienia-%d", n), "zamowienia", zones[n%3], "v1", 6, handle).start()
	}
	handle = func(wk *worker, out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if strings.HasPrefix(r.URL.Path, "/lookup/crash") {
			mutex.Lock()
			crashRuns = append(crashRuns, crashRun{time.Now(), id})
			w.addf("%s begins to run %s and crashes (crash %d)", wk.id, id, len(crashRuns))
			restarts++
			next := 4 + restarts
			mutex.Unlock()
			wk.crash()
			w.store.remove("servers/" + wk.id)
			time.AfterFunc(crashDowntime, func() {
				if err := add(next); err != nil {
					w.addf("no new worker: %v", err)
				}
			})
			return
		}
		time.Sleep(20 * time.Millisecond)
		out.Header().Set("Response-Seal", seal(wk, id))
		_, _ = out.Write([]byte("a record"))
	}
	w.publishCatalog(1, []map[string]any{{
		"name": "r-lookup", "host": host, "prefix": "/lookup/", "kind": "safe", "timeout-ms": 1200, "target-latency-ms": 200, "priority": 2,
		"service": "zamowienia", "max-attempts": 2, "public": false, "sticky": false, "resumable": false,
	}})
	for n := range 5 {
		if err := add(n); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startDaemons(); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	choose := func(n int) *daemon {
		for k := range w.daemons {
			// The balancer leaves out daemons that are not ready.
			if d := w.daemons[(n+k)%len(w.daemons)]; !d.stopping() && d.ready() {
				return d
			}
		}
		return w.daemons[n%len(w.daemons)]
	}
	// Sound requests, none like another.
	senders.Add(1)
	served, soundAsked := 0, 0
	go func() {
		defer senders.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			a := send(choose(n), newID(), request{method: http.MethodGet, path: fmt.Sprintf("/lookup/%d", n), deadline: 2500 * time.Millisecond})
			soundAsked++
			if a.status == http.StatusOK {
				served++
			}
		}
	}()
	counted := 0
	var thirdAt time.Time
	senders.Add(1)
	go func() {
		defer senders.Done()
		for n := 0; ; n++ {
			d, id, sentAt := choose(n), newID(), time.Now()
			inTouch := d.inTouch(sentAt)
			a := send(d, id, request{method: http.MethodGet, path: "/lookup/crash", deadline: 2500 * time.Millisecond})
			mutex.Lock()
			if len(crashRuns) >= 3 && thirdAt.IsZero() {
				thirdAt = crashRuns[2].at
			}
			reached := false
			for _, run := range crashRuns {
				reached = reached || run.id == id
			}
			late := !thirdAt.IsZero() && sentAt.Sub(thirdAt) > contactTime
			if reached && late && inTouch && !d.stopping() {
				counted++
				w.addf("retry %s reached a worker through %s, in touch, %.1f s after the third crash: %d so far", id, d.name, sentAt.Sub(thirdAt).Seconds(), counted)
			}
			mutex.Unlock()
			w.addf("client gets %s from %s: %v", id, d.name, a)
			select {
			case <-stop:
				return
			case <-time.After(poisonInterval):
			}
		}
	}()
	time.Sleep(20 * time.Second)
	for roll := 0; roll < 4; roll++ {
		for _, d := range w.daemons {
			if w.trouble {
				w.addf("%s gets SIGTERM", d.name)
				if err := d.restart(); err != nil {
					return cannotRun, err
				}
				if err := d.waitReady(); err != nil {
					return cannotRun, err
				}
				w.addf("%s has started again", d.name)
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	senders.Wait()
	w.addf("%d crashes; %d retries counted, %d allowed; %d of %d sound requests served", len(crashRuns), counted, mostRetries, served, soundAsked)
	if counted > mostRetries {
		w.addf("BUDGET broken")
		return broken, nil
	}
	return held, nil
}
