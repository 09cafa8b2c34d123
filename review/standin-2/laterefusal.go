package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-refusal"] = caseEntry{3, lateRefusal} }

// runs are the requests that workers have begun to run.
type runs struct {
	mutex sync.Mutex
	byID  map[string][]string
}

func (r *runs) add(id, worker string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byID[id] = append(r.byID[id], worker)
}

func (r *runs) of(id string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string{}, r.byID[id]...)
}

const (
	// burstRequests come at once, each with burstPieces pieces.
	burstRequests = 14
	burstPieces   = 8
	// firstToken is the time until a stream begins, as prompts are read in.
	firstToken = 2500 * time.Millisecond
	// freezeTime is how long a machine is frozen. The sites freeze machines for up to 4 s.
	freezeTime = 2500 * time.Millisecond
	// lostEvery: of the answers of one worker of two, two of five are lost (the sites: a share of
	// 0.6 of the workers loses 0.4 of the answers), for losingTime from the moment at which the
	// machine wakes.
	lostEvery, lostOf = 2, 5
	losingTime        = 4 * time.Second
)

// rounds name the machine that clients send to and the one that freezes. With these names, machine
// 1 mostly batches for the stage; the last rounds are for the case that another one does.
var rounds = []struct{ entry, frozen int }{
	{0, 1}, {2, 1}, {0, 1}, {2, 1}, {0, 1}, {2, 1}, {0, 1}, {2, 1}, {1, 0}, {1, 2}, {2, 0}, {0, 2},
}

// lateRefusal freezes a machine while pieces wait there, as requests come at once. The machines
// that sent them have them made elsewhere and send the requests to model workers. One of these
// loses some of its answers. A caller may not be told that its request has not run.
func lateRefusal(w *world) (int, error) {
	ran := &runs{byID: map[string][]string{}}
	made := &results{byName: map[string]bool{}}
	var mutex sync.Mutex
	// finished counts the answers of the worker that loses some, until losingUntil.
	finished, losingUntil := 0, time.Time{}
	model := func(wk *worker, out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		if len(inputsOf(r)) == 0 || !made.have(inputsOf(r)) {
			out.Header().Set("Not-Executed", "1")
			out.WriteHeader(http.StatusConflict)
			w.addf("%s does not run %s: an input is gone", wk.id, id)
			return
		}
		w.addf("%s takes %s", wk.id, id)
		time.Sleep(firstToken)
		if r.Context().Err() != nil {
			return
		}
		// A request starts to run with its first token.
		ran.add(id, wk.id)
		w.addf("%s runs %s", wk.id, id)
		lost := false
		if mutex.Lock(); time.Now().Before(losingUntil) && wk.id == "kowadlo-1" {
			finished++
			lost = finished%lostOf < lostEvery
		}
		mutex.Unlock()
		if lost {
			time.Sleep(200 * time.Millisecond)
			w.addf("%s has run %s, and the answer is lost", wk.id, id)
			reset(out)
			return
		}
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", seal(wk, id))
		for n := 1; n <= 10; n++ {
			if writeEvent(out, n, "word") != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	stage := stageHandler(made, 240*time.Millisecond, 26*time.Millisecond)
	w.publishCatalog(1, []map[string]any{{
		"name": "r-draft", "host": host, "prefix": "/draft/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 1500, "target-gap-ms": 400, "priority": 1,
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
	code, attempts := held, 0
	for round, machines := range rounds {
		entry, frozen := w.daemons[machines.entry], w.daemons[machines.frozen]
		w.addf("round %d: requests come at %s", round, entry.name)
		type outcome struct {
			id string
			answer
		}
		outcomes := make(chan outcome, burstRequests)
		for n := range burstRequests {
			go func() {
				id := newID()
				header := map[string]string{"Pieces": fmt.Sprint(burstPieces), "Piece-Key": "k" + id, "Model": "m", "Token-Count": "6610,50",
					"Prompt-Prefix": fmt.Sprintf("5c1e07a%d:5382,%s:1228", n%8, id), "Content-Type": "text/plain"}
				w.addf("client sends %s to %s", id, entry.name)
				a := send(entry, id, request{method: http.MethodPost, path: fmt.Sprintf("/draft/%d", n), body: []byte("a dedication"), header: header, deadline: 15 * time.Second})
				w.addf("client gets %s: %v", id, a)
				outcomes <- outcome{id, a}
			}()
		}
		time.Sleep(120 * time.Millisecond)
		if w.trouble {
			w.addf("%s is frozen", frozen.name)
			frozen.signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			frozen.signal(syscall.SIGCONT)
			w.addf("%s wakes", frozen.name)
			mutex.Lock()
			losingUntil = time.Now().Add(losingTime)
			mutex.Unlock()
		}
		for range burstRequests {
			o := <-outcomes
			attempts++
			refused := o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421
			if workers := ran.of(o.id); refused && len(workers) > 0 {
				w.addf("REFUSED broken: the client of %s was told %d, which promises that it has not run and never will, and it has run at %v", o.id, o.status, workers)
				code = broken
			}
		}
		time.Sleep(time.Second)
	}
	w.addf("%d client attempts", attempts)
	return code, nil
}

// publishCatalog writes a configuration with some routes.
func (w *world) publishCatalog(version int, routes []map[string]any) {
	pieces := map[string]any{"slots": 1, "queue": 2, "batch": 8, "call-ms": 240.0, "item-ms": 26.0, "headroom-mb": 9.6, "handle-s": 4.0, "link-mbps": 10000}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "kowadlo", "health-path": "/health", "max-connections": 500, "engine": map[string]any{"slots": 128, "kv-capacity-tokens": 788441, "stride": 5}},
			{"name": "darczyncy", "health-path": "/health", "max-connections": 500, "pieces": pieces},
			{"name": "zamowienia", "health-path": "/health", "max-connections": 48},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api-keys": []string{key}}},
	})
}
