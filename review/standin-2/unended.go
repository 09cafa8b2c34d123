package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unended"] = caseEntry{3, unended} }

const (
	// unendedTimeout is timeout-ms of the route, longStream the time that a stream takes.
	unendedTimeout = 5 * time.Second
	longStream     = 7 * time.Second
	// endSlack is the time after the route's timeout by which an answer must have ended.
	endSlack = 500 * time.Millisecond
	// leastUnended is the number of requests from which on, and unendedDivisor the share as a
	// divisor above which, the rule is broken.
	leastUnended   = 8
	unendedDivisor = 4
)

// unended freezes a machine as lateRefusal does. Streams take longer than the route's timeout-ms: they
// have to be ended then.
func unended(w *world) (int, error) {
	made := &results{byName: map[string]bool{}}
	model := func(wk *worker, out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		if len(inputsOf(r)) == 0 || !made.have(inputsOf(r)) {
			out.Header().Set("Not-Executed", "1")
			out.WriteHeader(http.StatusConflict)
			return
		}
		w.addf("%s runs %s", wk.id, id)
		startedAt := time.Now()
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", seal(wk, id))
		for n := 1; time.Since(startedAt) < longStream; n++ {
			if r.Context().Err() != nil || writeEvent(out, n, "word") != nil {
				w.addf("%s stops %s", wk.id, id)
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	stage := stageHandler(made, 240*time.Millisecond, 26*time.Millisecond)
	w.publishCatalog(1, []map[string]any{{
		"name": "r-draft", "host": host, "prefix": "/draft/", "kind": "stream", "timeout-ms": unendedTimeout.Milliseconds(), "target-latency-ms": 1500, "target-gap-ms": 400, "priority": 1,
		"service": "kowadlo", "max-attempts": 1, "public": false, "sticky": true, "resumable": false,
		"stages": []map[string]any{{"service": "darczyncy", "after": []int{}, "length": 8000}},
	}})
	var workers []*worker
	for n := range 2 {
		workers = append(workers, newWorker(w, fmt.Sprintf("kowadlo-%d", n), "kowadlo", zones[n%3], "v1", 128, model))
	}
	for n := range 5 {
		workers = append(workers, newWorker(w, fmt.Sprintf("darczyncy-%d", n), "darczyncy", zones[n%3], "v1", 1, stage))
	}
	for _, wk := range workers {
		if err := wk.start(); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startDaemons(); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	// Machine 1 batches for the stage, by a hash of the names.
	frozen := w.daemons[1]
	var mutex sync.Mutex
	long, late := 0, 0
	for round := 0; round < 8; round++ {
		entry := w.daemons[round%2*2]
		var clients sync.WaitGroup
		for n := range burstRequests {
			clients.Add(1)
			go func() {
				defer clients.Done()
				id := newID()
				header := map[string]string{"Pieces": fmt.Sprint(burstPieces), "Piece-Key": "k" + id, "Model": "m", "Token-Count": "6610,50",
					"Prompt-Prefix": fmt.Sprintf("5c1e07a%d:5382,%s:1228", n%8, id)}
				sentAt := time.Now()
				a := send(entry, id, request{method: http.MethodPost, path: fmt.Sprintf("/draft/%d", n), body: []byte("a dedication"), header: header, deadline: 15 * time.Second})
				took := time.Since(sentAt)
				w.addf("client gets %s from %s after %.2f s: %v", id, entry.name, took.Seconds(), a)
				mutex.Lock()
				defer mutex.Unlock()
				if took >= unendedTimeout-endSlack {
					long++
				}
				if took > unendedTimeout+endSlack {
					late++
				}
			}()
		}
		time.Sleep(120 * time.Millisecond)
		if w.trouble {
			w.addf("%s is frozen", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			frozen.signal(syscall.SIGCONT)
			w.addf("%s wakes", frozen.name)
		}
		clients.Wait()
		time.Sleep(time.Second)
	}
	w.addf("%d requests lasted as long as the route's timeout-ms, %d of them had no end %v later", long, late, endSlack)
	if late >= leastUnended && late*unendedDivisor > long {
		w.addf("CONFIG broken")
		return broken, nil
	}
	return held, nil
}
