package fleet

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
)

const (
	// drainTime is the time after an answer that says that its worker leaves from which on
	// new requests must not reach the worker, and noticeTime that in which such an answer
	// has come.
	drainTime  = 2 * time.Second
	noticeTime = 500 * time.Millisecond
	// restTime is how long workers want no requests, and restGrace how long after an
	// answer that says so requests may still reach them. maxInRest is how many may in the
	// time between.
	restTime  = 3500 * time.Millisecond
	restText  = "3.5"
	restGrace = 500 * time.Millisecond
	maxInRest = 2
)

// sendAll sends requests of routes in turn to all daemons for a time.
func (r *testFleet) sendAll(sending *sync.WaitGroup, length time.Duration, routes ...string) {
	const interval = 20 * time.Millisecond
	for n := range int(length / interval) {
		d := r.fleet.Daemons[n%len(r.fleet.Daemons)]
		route := routes[n/len(r.fleet.Daemons)%len(routes)]
		sending.Go(func() { client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest(route)) })
		time.Sleep(interval)
	}
}

// wantNoneAfter fails the test if a worker was reached after a time.
func (r *testFleet) wantNoneAfter(name string, after time.Time) {
	r.t.Helper()
	if times := r.arrivalsAt(name, after); len(times) > 0 {
		r.t.Errorf("%d requests reached %s, the last %v too late", len(times), name, times[len(times)-1].Sub(after))
	}
}

// New requests reach a worker that has said in an answer that it leaves, while the store
// still lists it as ready.
func TestWorkersThatSayThatTheyLeave(t *testing.T) {
	cases := []struct {
		name   string
		faults worker.Faults
	}{
		{"in answers", worker.Faults{Leaving: true}},
		{"in refusals", worker.Faults{Leaving: true, Full: true}},
		{"in answers that break off", worker.Faults{Leaving: true, CutAfterEvents: 3}},
		{"in answers without a frame", worker.Faults{Leaving: true, CloseDelimited: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startTestFleet(t, 3)
			names := []string{"models-1", "orders-0", "registry-0"}
			var sending sync.WaitGroup
			defer sending.Wait()
			r.sendAll(&sending, time.Second, "draft", "lookup", "order", "verse")
			for _, name := range names {
				r.site.SetFaults(name, c.faults)
			}
			r.sendAll(&sending, noticeTime+drainTime, "draft", "lookup", "order", "verse")
			late := time.Now()
			r.sendAll(&sending, 2*time.Second, "draft", "lookup", "order", "verse")
			sending.Wait()
			for _, name := range names {
				r.wantNoneAfter(name, late)
			}
			r.wantNoProblems()
		})
	}
}

// A worker that turns a request away and wants nothing for a while gets more requests from
// the same daemon in that time.
func TestWorkersThatWantARest(t *testing.T) {
	for _, c := range []struct{ worker, route string }{{"models-1", "draft"}, {"orders-0", "lookup"}, {"orders-0", "order"}, {"registry-0", "draft"}} {
		t.Run(c.worker+" "+c.route, func(t *testing.T) {
			t.Parallel()
			r := startTestFleet(t, 1)
			var sending sync.WaitGroup
			defer sending.Wait()
			// The worker is the only one of its service, so that all requests are for it.
			service, _, _ := strings.Cut(c.worker, "-")
			for _, name := range r.site.Workers() {
				if name != c.worker && strings.HasPrefix(name, service+"-") {
					r.site.Drain(name)
				}
			}
			r.sendAll(&sending, time.Second, c.route)
			r.site.SetFaults(c.worker, worker.Faults{Full: true, Rest: restText})
			declined := time.Now()
			r.sendAll(&sending, 2*restTime, c.route)
			sending.Wait()
			first := r.arrivalsAt(c.worker, declined)
			if len(first) == 0 {
				t.Fatalf("%s got no request", c.worker)
			}
			got := 0
			for _, at := range first {
				if since := at.Sub(first[0]); since > restGrace && since < restTime {
					got++
				}
			}
			t.Logf("%s got %d requests while it wanted none, %d in all", c.worker, got, len(first))
			if got > maxInRest {
				t.Errorf("%s got %d requests while it wanted none, %d are allowed", c.worker, got, maxInRest)
			}
			if last := first[len(first)-1]; last.Sub(first[0]) < restTime {
				t.Errorf("%s got nothing after its rest", c.worker)
			}
		})
	}
}
