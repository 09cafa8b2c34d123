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
	// workerColdRate is what a cold worker sustains, and maxColdInSecond what it may get in any
	// second.
	workerColdRate  = 2
	maxColdInSecond = 8
	// coldTime is how long workers are cold, coldContactTime the time until all daemons know.
	coldTime        = 6 * time.Second
	coldContactTime = time.Second
)

// Daemons send cold workers together more than these sustain, or go on to do so when they are
// warm again.
func TestColdWorkers(t *testing.T) {
	r := startTestFleet(t, 3)
	r.site.PublishConfiguration(2, func(c map[string]any) {
		orders := c["services"].([]any)[0].(map[string]any)
		orders["cold-start-s"], orders["cold-per-s"] = coldTime.Seconds(), workerColdRate
	})
	// Leases begin a while after the daemons start.
	time.Sleep(2 * time.Second)
	var workers []string
	warmAt := map[string]time.Time{}
	for _, name := range r.site.Workers() {
		if strings.HasPrefix(name, "orders-") {
			workers = append(workers, name)
			warmAt[name] = time.Now().Add(coldTime)
			r.site.Chill(name, coldTime, workerColdRate)
		}
	}
	time.Sleep(coldContactTime)
	since := time.Now()
	var sending sync.WaitGroup
	send := func(length time.Duration) {
		for n := range int(length / (20 * time.Millisecond)) {
			d := r.fleet.Daemons[n%len(r.fleet.Daemons)]
			sending.Go(func() { client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest("lookup")) })
			time.Sleep(20 * time.Millisecond)
		}
	}
	send(coldTime - coldContactTime - 500*time.Millisecond)
	for _, name := range workers {
		most, begin := 0, 0
		times := slices.DeleteFunc(r.arrivalsAt(name, since), warmAt[name].Before)
		for n, at := range times {
			for at.Sub(times[begin]) >= time.Second {
				begin++
			}
			most = max(most, n-begin+1)
		}
		t.Logf("%s got %d requests in a second at most, %d in all", name, most, len(times))
		if most > maxColdInSecond || r.site.PlainWorkers[name].ColdCrashes() > 0 || len(times) == 0 {
			t.Errorf("%s got %d requests in a second, allowed 1 to %d; %d crashes", name, most, maxColdInSecond, r.site.PlainWorkers[name].ColdCrashes())
		}
	}
	for _, name := range workers {
		r.site.Chill(name, 0, workerColdRate)
	}
	time.Sleep(coldContactTime)
	warm := time.Now()
	send(2 * time.Second)
	sending.Wait()
	served := 0
	for _, name := range workers {
		served += len(r.arrivalsAt(name, warm))
	}
	if served < 90 {
		t.Errorf("%d of 100 requests were served once all workers were warm", served)
	}
	r.wantNoProblems()
}
