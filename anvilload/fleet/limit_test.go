package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
)

const (
	// limitWindow is the window of the users' bound on the requests to a worker that
	// names a limit, and maxInWindow what they allow for a limit of one a second.
	limitWindow = 4 * time.Second
	maxInWindow = 11
	// limitContactTime is the time from the first naming on which the bound does not
	// count, and limitedTime the time for which workers name limits.
	limitContactTime = 3 * time.Second
	limitedTime      = 12 * time.Second
)

// arrivalsAt returns when requests and calls reached a worker after a time.
func (r *testFleet) arrivalsAt(name string, after time.Time) []time.Time {
	var times []time.Time
	for _, record := range r.site.Recorder.Records() {
		for _, a := range record.Arrivals {
			if a.Worker == name && a.Start.After(after) {
				times = append(times, a.Start)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// wantWithinLimit checks that a worker which names a limit of one request a second since
// a time got no more than allowed, and was used.
func (r *testFleet) wantWithinLimit(name string, since time.Time) {
	r.t.Helper()
	times := r.arrivalsAt(name, since.Add(limitContactTime))
	most, begin := 0, 0
	for n, at := range times {
		for at.Sub(times[begin]) >= limitWindow {
			begin++
		}
		most = max(most, n-begin+1)
	}
	r.t.Logf("%s got %d requests in %v at most, %d in all", name, most, limitWindow, len(times))
	if most > maxInWindow {
		r.t.Errorf("%s got %d requests in %v, %d are allowed", name, most, limitWindow, maxInWindow)
	}
	if len(times) == 0 {
		r.t.Errorf("%s got no request", name)
	}
}

// Daemons send a worker more requests, calls and releases of results together than the
// limit that it names, or go on to hold it to the limit when it names none any more.
func TestWorkersThatNameALimit(t *testing.T) {
	r := startTestFleet(t, 3)
	// The model worker is the one that requests of this test prefer.
	const model, plain, stage = "models-1", "orders-0", "registry-0"
	setLimit := func(rate string) {
		for _, name := range []string{model, plain, stage} {
			r.site.SetRateLimit(name, rate)
		}
	}
	var sending sync.WaitGroup
	send := func(length time.Duration) {
		for n := range int(length / (40 * time.Millisecond)) {
			d := r.fleet.Daemons[n%len(r.fleet.Daemons)]
			kind := []string{"draft", "lookup"}[n/3%2]
			sending.Go(func() { client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest(kind)) })
			time.Sleep(40 * time.Millisecond)
		}
	}
	setLimit("1")
	since := time.Now()
	send(limitedTime)
	for _, name := range []string{model, plain, stage} {
		r.wantWithinLimit(name, since)
	}
	setLimit("")
	// Requests go to these three from now on, whichever workers answer sooner.
	for _, name := range r.site.Workers() {
		if name != model && name != plain && name != stage && !strings.HasPrefix(name, "planning-") {
			r.site.Drain(name)
		}
	}
	send(2 * time.Second)
	ended := time.Now()
	send(3 * time.Second)
	sending.Wait()
	for _, name := range []string{model, plain, stage} {
		if got := len(r.arrivalsAt(name, ended)); got < 6 {
			t.Errorf("%s got %d requests in 3 s after its limit had ended", name, got)
		}
	}
	r.wantNoProblems()
}
