package fleet

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
)

const (
	crashingPart = "c4a5"
	// crashingPrefix begins the ids of the requests with the part.
	crashingPrefix = "crash-"
	// crashContactTime is the users' contact time on the small deployments, and
	// maxLateArrivals how many requests with the part may reach workers later than that
	// after the fifth crash.
	crashContactTime = 3 * time.Second
	maxLateArrivals  = 3
)

// crashingRequest returns a request with a prompt part that crashes workers; its other
// shared part is that of all requests.
func crashingRequest() client.Request {
	r := client.NewRequest("draft")
	r.ID = crashingPrefix + r.ID
	r.Body += r.ID
	r.ExtraPart = crashingPart
	return r
}

// lateArrivals counts the arrivals at workers of requests with the part after a time.
func (r *testFleet) lateArrivals(after time.Time) int {
	count := 0
	for id, record := range r.site.Recorder.Records() {
		for _, a := range record.Arrivals {
			if strings.HasPrefix(id, crashingPrefix) && a.Start.After(after) {
				count++
			}
		}
	}
	return count
}

// Daemons keep requests from the workers that have a prompt part under which these
// crash, and go on serving the others.
func TestPromptPartThatCrashesWorkers(t *testing.T) {
	r := startTestFleet(t, 3)
	for _, m := range r.site.ModelWorkers {
		m.SetFaults(worker.Faults{CrashPart: crashingPart})
	}
	var sending sync.WaitGroup
	send := func(n int, request client.Request) {
		d := r.fleet.Daemons[n%len(r.fleet.Daemons)]
		sending.Go(func() { client.Send(context.Background(), r.httpClient, d.CallerAddress, request) })
	}
	var fifth time.Time
	for n := range 100 {
		send(n, client.NewRequest("draft"))
		if n%3 == 0 {
			send(n, crashingRequest())
		}
		time.Sleep(100 * time.Millisecond)
		if fifth.IsZero() && r.site.Crashes() >= 5 {
			fifth = time.Now()
		}
	}
	sending.Wait()
	t.Logf("%d crashes", r.site.Crashes())
	if r.site.Crashes() < 3 {
		t.Fatal("fewer crashes than the quarantine needs")
	}
	if !fifth.IsZero() {
		if late := r.lateArrivals(fifth.Add(crashContactTime)); late > maxLateArrivals {
			t.Errorf("%d requests with the part reached workers later than %v after the fifth crash, want %d at most", late, crashContactTime, maxLateArrivals)
		}
	}
	for _, d := range r.fleet.Daemons {
		r.wantStatus(d, crashingRequest(), http.StatusInternalServerError)
		r.wantWhole(d, client.NewRequest("draft"))
	}
}
