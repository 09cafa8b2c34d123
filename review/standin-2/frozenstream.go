package main

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen-stream"] = caseEntry{3, frozenStream} }

const (
	// readTime is the time until the first event of a stream: the prompt is read in. The route's
	// target is 2.5 s.
	readTime = 500 * time.Millisecond
	// frozenStreamEvents and frozenStreamPause give the length of a stream.
	frozenStreamEvents = 150
	frozenStreamPause  = 20 * time.Millisecond
	// longFreeze is how long a machine is frozen. The sites freeze machines for up to 4 s.
	longFreeze = 4 * time.Second
)

// eventPattern matches an event and yields its id and the run that made it.
var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: (\S+)\n\n`)

// frozenStream freezes the machine that streams are sent to, for a while after which it tries the
// next worker for those without an event. No stream may hold a piece twice.
func frozenStream(w *world) (int, error) {
	var mutex sync.Mutex
	runsOf := map[string]int{}
	model := func(wk *worker, out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		select {
		case <-time.After(readTime):
		case <-r.Context().Done():
			return
		}
		mutex.Lock()
		runsOf[id]++
		run := fmt.Sprintf("%s/run-%d", wk.id, runsOf[id])
		mutex.Unlock()
		w.addf("%s runs %s after event %d: %s", wk.id, id, last, run)
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", seal(wk, id))
		for n := last + 1; n <= frozenStreamEvents; n++ {
			if writeEvent(out, n, run) != nil || r.Context().Err() != nil {
				w.addf("%s ends %s at event %d: its connection is closed", wk.id, run, n)
				return
			}
			time.Sleep(frozenStreamPause)
		}
	}
	w.publishCatalog(1, []map[string]any{{
		"name": "r-verse", "host": host, "prefix": "/verse/", "kind": "stream", "timeout-ms": 15000, "target-latency-ms": 2500, "target-gap-ms": 400, "priority": 0,
		"service": "kowadlo", "max-attempts": 2, "public": false, "sticky": true, "resumable": true,
	}})
	for n := range 4 {
		if err := newWorker(w, fmt.Sprintf("kowadlo-%d", n), "kowadlo", zones[n%3], "v1", 128, model).start(); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startDaemons(); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	asked, wrong := 0, 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id, d := newID(), w.daemons[n%len(w.daemons)]
				header := map[string]string{"Model": "m", "Token-Count": "826,300", "Prompt-Prefix": fmt.Sprintf("5c1e07a%x:198,%s:628", n%8, id)}
				a := send(d, id, request{method: http.MethodPost, path: fmt.Sprintf("/verse/%d", n), body: []byte("a verse"), header: header, deadline: 15 * time.Second})
				problem := checkEvents(string(a.body))
				mutex.Lock()
				defer mutex.Unlock()
				asked++
				w.addf("client gets %s from %s: %v", id, d.name, a)
				if problem != "" {
					wrong++
					w.addf("ORDER broken: the stream of %s: %s", id, problem)
				}
			}()
		}
	}()
	for round := range 6 {
		time.Sleep(5 * time.Second)
		if d := w.daemons[round%len(w.daemons)]; w.trouble {
			w.addf("%s is frozen", d.name)
			d.signal(syscall.SIGSTOP)
			time.Sleep(longFreeze)
			d.signal(syscall.SIGCONT)
			w.addf("%s wakes", d.name)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	w.addf("%d streams asked for, %d with pieces out of order", asked, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// checkEvents returns what is wrong with the events of a stream: each must have the id after that
// of the one before.
func checkEvents(body string) string {
	want, lastRun := 1, ""
	for _, match := range eventPattern.FindAllStringSubmatch(body, -1) {
		if n, _ := strconv.Atoi(match[1]); n != want {
			return fmt.Sprintf("event %d of %s comes after event %d of %s", n, match[2], want-1, lastRun)
		}
		want, lastRun = want+1, match[2]
	}
	return ""
}
