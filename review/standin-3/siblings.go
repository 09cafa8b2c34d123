package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A stage has two others after it. One of its workers crashes, with its results.

// siblingStages: the results of the first stage go to both others, and the results of these to the
// model.
var siblingStages = []stageSpec{
	{Service: "darczyncy", After: []int{}, Length: 8000},
	{Service: "warsztat", After: []int{0}, Length: 60000},
	{Service: "faktury", After: []int{0}, Length: 6000},
}

// siblingProfiles: a batch of 8 pieces, as on the sheet; the calls of the last service are the longest.
var siblingProfiles = map[string]piecesSpec{
	"darczyncy": {Slots: 1, Queue: 2, Batch: 8, Call: 600, Item: 26, Headroom: 9.6, Handle: 8, Link: 10000},
	"warsztat":  {Slots: 1, Queue: 2, Batch: 8, Call: 600, Item: 50, Headroom: 9.6, Handle: 8, Link: 10000},
	"faktury":   {Slots: 1, Queue: 2, Batch: 8, Call: 1600, Item: 100, Headroom: 9.6, Handle: 8, Link: 10000},
}

const (
	siblingWorkers  = 5
	siblingRequests = 20
	siblingPause    = 12 * time.Second
	crashTime       = 4500 * time.Millisecond
)

// crashDelays holds the time from each clump of requests to the crash of a worker.
var crashDelays = []time.Duration{1400 * time.Millisecond, 1800 * time.Millisecond, 1600 * time.Millisecond, 1400 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond, 1700 * time.Millisecond}

func runSiblings(r *run) int {
	s := newResults(r, siblingStages)
	route := routeSpec{Name: "r-1", Host: host, Prefix: "/draft/", Kind: "stream", Timeout: 15000, Objective: 4000, Priority: 1, Service: "kowadlo", Attempts: 1, Sticky: true, Stages: siblingStages, Gap: 400}
	services := []serviceSpec{{Name: "kowadlo", Health: "/health", Connections: 500, Engine: &engineSpec{Slots: 128, Memory: 788441, Stride: 5}}}
	workers := map[string][]*stageWorker{}
	for _, spec := range siblingStages {
		profile := siblingProfiles[spec.Service]
		services = append(services, serviceSpec{Name: spec.Service, Health: "/health", Connections: 500, Pieces: &profile})
		for n := range siblingWorkers {
			workers[spec.Service] = append(workers[spec.Service], newStageWorker(s, spec.Service, n, profile))
		}
	}
	for n := range 3 {
		newModelWorker(s, n)
	}
	r.store.put("op/config", configuration(7, []routeSpec{route}, services))
	r.startDaemons(3)
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	for clump, delay := range crashDelays {
		r.logf("clump %d", clump)
		for n := range siblingRequests {
			wait.Add(1)
			go func() {
				defer wait.Done()
				askDraft(r, s, r.daemons[n%len(r.daemons)], "3,4,7")
			}()
		}
		if r.trouble {
			time.Sleep(delay)
			most := workers["darczyncy"][0]
			for _, w := range workers["darczyncy"] {
				if w.process.made > most.process.made {
					most = w
				}
			}
			most.crash(crashTime)
		}
		time.Sleep(siblingPause)
	}
	wait.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.logf("violations of MIXED: %d", len(s.broken))
	if len(s.broken) > 0 {
		return broken
	}
	return held
}

// askDraft sends a request with pieces and reads its answer.
func askDraft(r *run, s *results, d *daemon, pieces string) {
	id := newID()
	counts := []int{}
	for text := range strings.SplitSeq(pieces, ",") {
		n, _ := strconv.Atoi(text)
		counts = append(counts, n)
	}
	s.mutex.Lock()
	s.pieces[id] = counts
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/draft/1", strings.NewReader("draft"))
	must(err)
	request.Host = host
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "15000", "Authorization": "Bearer " + key, "Model": "m", "Token-Count": "700,40", "Prompt-Prefix": "5c1e07a2:500," + id + ":200", "Pieces": pieces, "Piece-Key": newID()} {
		request.Header.Set(name, value)
	}
	started := time.Now()
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		r.logf("client: request %s at %s: %v", id, d.name, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	r.logf("client: request %s at %s: %d after %v, %d bytes %v, Retry-After %q", id, d.name, response.StatusCode, time.Since(started).Round(time.Millisecond), len(body), err, response.Header.Get("Retry-After"))
}

// newModelWorker starts a worker that streams the events of a generation.
func newModelWorker(s *results, number int) {
	l := listen()
	id := "i-" + newID()[:10]
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			out.Header().Set("Instance-Id", id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/health" {
			out.Header().Set("Instance-Id", id)
			return
		}
		request := r.Header.Get("Request-Id")
		out.Header().Set("Request-Id", request)
		inputs := strings.Split(r.Header.Get("Inputs"), ",")
		s.check("the prompt", request, []int{1, 2}, inputs)
		for _, h := range inputs {
			if !s.exists(h) {
				out.Header().Set("Not-Executed", "1")
				out.WriteHeader(http.StatusConflict)
				return
			}
		}
		s.run.logf("model worker %s runs request %s", id, request)
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("Response-Seal", id+"."+request)
		buffered := bufio.NewWriter(out)
		for n := range 8 {
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(buffered, "id: %d\ndata: word %d\n\n", n+1, n+1)
			_ = buffered.Flush()
			_ = http.NewResponseController(out).Flush()
		}
	})}
	go func(l net.Listener) { _ = server.Serve(l) }(l)
	s.run.store.put("servers/"+id, entry{Service: "kowadlo", Address: l.Addr().String(), Zone: zoneNames[number%len(zoneNames)], Version: "v1", Slots: 128, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
}
