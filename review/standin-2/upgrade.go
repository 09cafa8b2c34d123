package main

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = caseEntry{3, upgrade} }

const (
	// streamEvents and eventPause give the length of a stream.
	streamEvents = 60
	eventPause   = 50 * time.Millisecond
	// outageTime is how long the store is silent. The sites have outages of up to 9 s.
	outageTime = 8 * time.Second
	// upgradeDowntime is how long a worker is down.
	upgradeDowntime = time.Second
	// upgradedWorkers are restarted in turn; one more is not.
	upgradedWorkers = 3
	// mostMixed is the number of streams that may hold events of two versions.
	mostMixed = 2
)

// upgrade has workers crash and start again under the id that they had, in a newer version, while
// the store is silent. A stream that breaks off may go on only at the version that began it.
func upgrade(w *world) (int, error) {
	model := func(wk *worker, out http.ResponseWriter, r *http.Request) {
		id, version := r.Header.Get("Request-Id"), wk.currentVersion()
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.addf("%s (%s) runs %s after event %d", wk.id, version, id, last)
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", seal(wk, id))
		for n := last + 1; n <= streamEvents; n++ {
			if writeEvent(out, n, version) != nil {
				return
			}
			time.Sleep(eventPause)
		}
	}
	w.publishCatalog(1, []map[string]any{{
		"name": "r-verse", "host": host, "prefix": "/verse/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 2500, "target-gap-ms": 400, "priority": 0,
		"service": "kowadlo", "max-attempts": 2, "public": false, "sticky": true, "resumable": true,
	}})
	var workers []*worker
	for n := range upgradedWorkers + 1 {
		workers = append(workers, newWorker(w, fmt.Sprintf("kowadlo-%d", n), "kowadlo", zones[n%3], "v1", 128, model))
		if err := workers[n].start(); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startDaemons(); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	asked, mixed := 0, 0
	versions := regexp.MustCompile(`data: (v\d)`)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id, d := newID(), w.daemons[n%len(w.daemons)]
				header := map[string]string{"Model": "m", "Token-Count": "826,300", "Prompt-Prefix": fmt.Sprintf("5c1e07a%x:198,%s:628", n%8, id)}
				a := send(d, id, request{method: http.MethodPost, path: fmt.Sprintf("/verse/%d", n), body: []byte("a verse"), header: header, deadline: 15 * time.Second})
				var seen []string
				for _, match := range versions.FindAllStringSubmatch(string(a.body), -1) {
					if len(seen) == 0 || seen[len(seen)-1] != match[1] {
						seen = append(seen, match[1])
					}
				}
				mutex.Lock()
				defer mutex.Unlock()
				asked++
				w.addf("client gets %s from %s: %v, events of %s", id, d.name, a, strings.Join(seen, " then "))
				if len(seen) > 1 {
					mixed++
					w.addf("ORDER: %s holds events of %s, %d so far", id, strings.Join(seen, " then "), mixed)
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.addf("the store falls silent")
		w.store.setSilent(true)
		time.AfterFunc(outageTime, func() {
			w.addf("the store answers again")
			w.store.setSilent(false)
		})
	}
	time.Sleep(500 * time.Millisecond)
	for _, wk := range workers[:upgradedWorkers] {
		w.addf("%s crashes", wk.id)
		wk.crash()
		time.Sleep(upgradeDowntime)
		wk.mutex.Lock()
		wk.version = "v2"
		wk.mutex.Unlock()
		for wk.start() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		w.addf("%s has started again under its id, as v2", wk.id)
		time.Sleep(time.Second)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	w.addf("%d streams asked for, %d with events of two versions, %d allowed", asked, mixed, mostMixed)
	if mixed > mostMixed {
		w.addf("ORDER broken")
		return broken, nil
	}
	return held, nil
}
