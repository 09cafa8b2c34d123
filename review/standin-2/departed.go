package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["departed"] = caseEntry{3, departed} }

const (
	// sessions have two turns each, with one last part of the prompt.
	sessions = 24
	// secondTurnEvents and secondTurnPause give the length of the streams of the second turns.
	secondTurnEvents = 150
	secondTurnPause  = 50 * time.Millisecond
	// servesOn is how long a worker serves after the store has its report that it drains:
	// drain-ms and a little longer.
	servesOn = 2300 * time.Millisecond
)

// heldParts are the prompt parts that workers keep, by worker.
type heldParts struct {
	mutex sync.Mutex
	parts map[string]map[string]int
}

func (h *heldParts) add(worker, prefix string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.parts[worker] == nil {
		h.parts[worker] = map[string]int{}
	}
	for entry := range strings.SplitSeq(prefix, ",") {
		id, text, _ := strings.Cut(entry, ":")
		h.parts[worker][id], _ = strconv.Atoi(text)
	}
}

// list writes the answer to GET /api/kv-list.
func (h *heldParts) list(w *worker, out http.ResponseWriter) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held := [][]any{}
	for id, tokens := range h.parts[w.id] {
		held = append(held, []any{"", id, tokens, "m"})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"born": w.born, "epoch": 1, "next": len(held), "held": held})
}

// drain reports that a worker drains, serves on for a while, and ends it and its entry.
func (w *worker) drain(serves time.Duration) {
	w.mutex.Lock()
	w.state = "draining"
	w.mutex.Unlock()
	w.register()
	time.Sleep(serves)
	w.crash()
	w.world.store.remove("servers/" + w.id)
}

// departed has streams begin at workers of a version that then leave, after which all daemons are
// killed at once. Clients take their streams up. None may go on at another version.
func departed(w *world) (int, error) {
	kept := &heldParts{parts: map[string]map[string]int{}}
	model := func(wk *worker, out http.ResponseWriter, r *http.Request) {
		id, version := r.Header.Get("Request-Id"), wk.currentVersion()
		_, _ = io.Copy(io.Discard, r.Body)
		kept.add(wk.id, r.Header.Get("Prompt-Prefix"))
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		_, text, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
		events, _ := strconv.Atoi(text)
		w.addf("%s (%s) runs %s after event %d", wk.id, version, id, last)
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", seal(wk, id))
		for n := last + 1; n <= events; n++ {
			if writeEvent(out, n, version) != nil {
				return
			}
			time.Sleep(secondTurnPause)
		}
	}
	w.publishCatalog(1, []map[string]any{{
		"name": "r-verse", "host": host, "prefix": "/verse/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 2500, "target-gap-ms": 400, "priority": 0,
		"service": "kowadlo", "max-attempts": 2, "public": false, "sticky": true, "resumable": true,
	}})
	var old, joined []*worker
	start := func(version string) ([]*worker, error) {
		var started []*worker
		for n := range 3 {
			wk := newWorker(w, fmt.Sprintf("kowadlo-%s-%d", version, n), "kowadlo", zones[n], version, 128, model)
			wk.list = kept.list
			if err := wk.start(); err != nil {
				return nil, err
			}
			started = append(started, wk)
		}
		return started, nil
	}
	var err error
	if old, err = start("v2"); err != nil {
		return cannotRun, err
	}
	_ = old
	if err := w.startDaemons(); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	versions := regexp.MustCompile(`id: (\d+)\ndata: (v\d)\n\n`)
	turn := func(session, events int, id string, extra map[string]string, d *daemon, deadline time.Duration) (a answer, last int, seen []string) {
		header := map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("300,%d", events), "Prompt-Prefix": fmt.Sprintf("5c1e07a%x:100,5e55%04x:200", session%8, session)}
		for name, value := range extra {
			header[name] = value
		}
		a = send(d, id, request{method: http.MethodPost, path: fmt.Sprintf("/verse/%d", session), body: []byte("a verse"), header: header, deadline: deadline})
		for _, match := range versions.FindAllStringSubmatch(string(a.body), -1) {
			last, _ = strconv.Atoi(match[1])
			if len(seen) == 0 || seen[len(seen)-1] != match[2] {
				seen = append(seen, match[2])
			}
		}
		return a, last, seen
	}
	var first sync.WaitGroup
	for s := range sessions {
		first.Add(1)
		go func() {
			defer first.Done()
			id := newID()
			a, _, seen := turn(s, 5, id, nil, w.daemons[s%3], 15*time.Second)
			w.addf("session %d, first turn %s: %v, events of %v", s, id, a, seen)
		}()
	}
	first.Wait()
	if joined, err = start("v1"); err != nil {
		return cannotRun, err
	}
	time.Sleep(1500 * time.Millisecond)
	var mutex sync.Mutex
	mixed, takenUp := 0, 0
	restarted := make(chan struct{})
	var second sync.WaitGroup
	for s := range sessions {
		second.Add(1)
		go func() {
			defer second.Done()
			id, sentAt := newID(), time.Now()
			left := func() time.Duration { return 15*time.Second - time.Since(sentAt) }
			a, last, seen := turn(s, secondTurnEvents, id, nil, w.daemons[s%3], 15*time.Second)
			w.addf("session %d, second turn %s: %v, events of %v up to %d", s, id, a, seen, last)
			if a.complete || last == 0 {
				return
			}
			<-restarted
			// The client takes its stream up: at another machine each time, until its deadline.
			for try := 1; left() > time.Second; try++ {
				again := newID()
				b, end, more := turn(s, secondTurnEvents, again, map[string]string{"Last-Event-Id": fmt.Sprint(last), "Resumes": id}, w.daemons[(s+try)%3], left())
				w.addf("session %d takes %s up as %s after event %d: %v, events of %v up to %d", s, id, again, last, b, more, end)
				if len(more) > 0 {
					mutex.Lock()
					takenUp++
					if len(more) > 1 || more[0] != seen[len(seen)-1] {
						mixed++
						w.addf("ORDER: the stream of session %d holds events of %v and then of %v, %d so far", s, seen, more, mixed)
					}
					mutex.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	time.Sleep(700 * time.Millisecond)
	var leaving sync.WaitGroup
	for _, wk := range joined {
		leaving.Add(1)
		w.addf("%s reports that it drains", wk.id)
		go func() {
			defer leaving.Done()
			wk.drain(servesOn)
			w.addf("%s has left", wk.id)
		}()
	}
	leaving.Wait()
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		w.addf("all daemons are killed")
		for _, d := range w.daemons {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range w.daemons {
			<-d.exited
		}
		time.Sleep(500 * time.Millisecond)
		if err := w.startDaemons(); err != nil {
			return cannotRun, err
		}
	}
	close(restarted)
	second.Wait()
	w.addf("%d streams were taken up, %d hold events of two versions, %d allowed", takenUp, mixed, mostMixed)
	if mixed > mostMixed {
		w.addf("ORDER broken")
		return broken, nil
	}
	return held, nil
}
