package fleet

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

// brokenStream is a stream that broke off after some of its events.
type brokenStream struct {
	request   client.Request
	lastEvent int
}

// beginAndBreak begins streams at a daemon and calls breakOff while they run. It returns
// those of which the caller has events.
func (r *testFleet) beginAndBreak(d *Daemon, count int, breakOff func()) []brokenStream {
	replies, requests := make([]client.Reply, count), make([]client.Request, count)
	var sending sync.WaitGroup
	for n := range count {
		requests[n] = client.NewRequest("verse")
		requests[n].EventCount = 400
		sending.Go(func() { replies[n] = client.Send(context.Background(), r.httpClient, d.CallerAddress, requests[n]) })
	}
	time.Sleep(700 * time.Millisecond)
	breakOff()
	sending.Wait()
	var broken []brokenStream
	for n, reply := range replies {
		if events := strings.Count(reply.Body, "\n\n"); reply.Err != nil && events > 0 {
			broken = append(broken, brokenStream{request: requests[n], lastEvent: events})
		}
	}
	return broken
}

// takeUp takes streams up at a daemon and returns how many go on. None may do so at a
// worker of another version than the one that began it.
func (r *testFleet) takeUp(d *Daemon, streams []brokenStream) int {
	var wentOn atomic.Int64
	var sending sync.WaitGroup
	for _, s := range streams {
		again := s.request.TakeUp(s.lastEvent)
		sending.Go(func() {
			reply := client.Send(context.Background(), r.httpClient, d.CallerAddress, again)
			if reply.Err != nil || reply.Status != http.StatusOK {
				r.t.Logf("%s: status %d, error %v: %s", s.request.ID, reply.Status, reply.Err, reply.Body)
				return
			}
			wentOn.Add(1)
			r.wantOneVersion(append(r.site.Recorder.WorkersThatRan(s.request.ID), r.site.Recorder.WorkersThatRan(again.ID)...))
		})
	}
	sending.Wait()
	return int(wentOn.Load())
}

func (r *testFleet) wantOneVersion(workers []string) {
	r.t.Helper()
	for _, name := range workers {
		if r.site.Version(name) != r.site.Version(workers[0]) {
			r.t.Errorf("a stream has events of %v, which differ in version", workers)
		}
	}
}

// A stream goes on at workers of another version than the one that began it.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	r := startTestFleetAt(t, 3, site.Config{ModelVersions: []string{"v1", "v2"}})
	t.Run("inside one answer", func(t *testing.T) {
		r.setModelFaults(worker.Faults{CutAfterEvents: 7})
		defer r.setModelFaults(worker.Faults{})
		resumed := 0
		for range 12 {
			request := client.NewRequest("verse")
			client.Send(context.Background(), r.httpClient, r.fleet.Daemons[0].CallerAddress, request)
			workers := r.site.Recorder.WorkersThatRan(request.ID)
			r.wantOneVersion(workers)
			if len(workers) > 1 {
				resumed++
			}
		}
		if resumed == 0 {
			t.Fatal("no stream went on at another worker")
		}
	})
	relaunch := func(daemons ...*Daemon) {
		for _, d := range daemons {
			if err := d.Launch(); err != nil {
				t.Fatal(err)
			}
		}
		for _, d := range daemons {
			if err := d.WaitReady(); err != nil {
				t.Fatal(err)
			}
		}
	}
	kill := func(daemons ...*Daemon) {
		for _, d := range daemons {
			if err := d.Kill(); err != nil {
				t.Error(err)
			}
		}
	}
	wantTakenUp := func(t *testing.T, wentOn, broken int) {
		t.Helper()
		if broken < 6 || 2*wentOn < broken {
			t.Fatalf("%d of %d streams went on, want half of at least 6", wentOn, broken)
		}
	}
	time.Sleep(3 * time.Second)
	t.Run("at another daemon", func(t *testing.T) {
		broken := r.beginAndBreak(r.fleet.Daemons[0], 12, func() { kill(r.fleet.Daemons[0]) })
		wantTakenUp(t, r.takeUp(r.fleet.Daemons[1], broken), len(broken))
		relaunch(r.fleet.Daemons[0])
	})
	t.Run("after all daemons were killed", func(t *testing.T) {
		broken := r.beginAndBreak(r.fleet.Daemons[0], 12, func() { kill(r.fleet.Daemons...) })
		relaunch(r.fleet.Daemons...)
		wantTakenUp(t, r.takeUp(r.fleet.Daemons[1], broken), len(broken))
	})
	r.wantNoProblems()
}
