package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"anvilcross/anvilstandin/client"
)

const (
	// configApplyTime is the time within which a published configuration has to be in
	// force.
	configApplyTime = 2 * time.Second
	// storeAwayTime is how long the store is away while it is restored.
	storeAwayTime = time.Second
)

// firstRoutes returns an edit that keeps the first routes of a configuration.
func firstRoutes(count int) func(map[string]any) {
	return func(c map[string]any) { c["routes"] = c["routes"].([]any)[:count] }
}

// restoreStore takes the store away and brings it back from a copy.
func (r *testFleet) restoreStore(restore func()) {
	r.site.MetadataStore.SetDown(true)
	time.Sleep(storeAwayTime)
	restore()
	r.site.MetadataStore.SetDown(false)
}

// wantInForce checks that all daemons soon answer requests on a route with a status.
func (r *testFleet) wantInForce(route string, status int) {
	r.t.Helper()
	r.eventually("requests on route "+route+" get "+http.StatusText(status), configApplyTime, func() bool {
		for _, d := range r.fleet.Daemons {
			if client.Send(context.Background(), r.httpClient, d.CallerAddress, client.NewRequest(route)).Status != status {
				return false
			}
		}
		return true
	})
}

// After the store has come back from a copy, whose revisions are lower, a change is not
// in force, or one of before is in force again.
func TestChangeAfterTheStoreWasRestored(t *testing.T) {
	r := startTestFleet(t, 3)
	store := r.site.MetadataStore
	r.site.PublishConfiguration(10, firstRoutes(2))
	r.wantInForce("draft", http.StatusNotFound)
	copied := store.Copy()
	for version := 11; version < 15; version++ {
		r.site.PublishConfiguration(version, firstRoutes(3))
	}
	r.site.PublishConfiguration(15, func(c map[string]any) { c["routes"] = c["routes"].([]any)[1:3] })
	r.wantInForce("draft", http.StatusOK)
	r.wantInForce("order", http.StatusNotFound)
	r.restoreStore(func() { store.Restore(copied) })
	// The operator has not written its configuration again yet.
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, d := range r.fleet.Daemons {
			r.wantStatus(d, client.NewRequest("order"), http.StatusNotFound)
			r.wantWhole(d, client.NewRequest("draft"))
		}
	}
	t.Run("a daemon that starts meanwhile gets the newest configuration", func(t *testing.T) {
		d := r.fleet.Daemons[0]
		if err := d.Kill(); err != nil {
			t.Fatal(err)
		}
		if err := d.Launch(); err != nil {
			t.Fatal(err)
		}
		if err := d.WaitReady(); err != nil {
			t.Fatal(err)
		}
		r.wantStatus(d, client.NewRequest("order"), http.StatusNotFound)
		r.wantWhole(d, client.NewRequest("draft"))
	})
	r.site.PublishConfiguration(16, nil)
	r.wantInForce("verse", http.StatusOK)
	r.wantInForce("order", http.StatusOK)
	t.Run("restored twice in a row", func(t *testing.T) {
		r.restoreStore(func() {
			store.Restore(copied)
			store.Restore(copied)
		})
		r.site.PublishConfiguration(17, firstRoutes(3))
		r.wantInForce("verse", http.StatusNotFound)
		r.site.PublishConfiguration(18, nil)
		r.wantInForce("verse", http.StatusOK)
	})
	r.wantNoProblems()
}

// After the store has come back from a copy, a worker that had left and is still in the
// copy gets requests again, or one that is not in the copy gets none.
func TestWorkersAfterTheStoreWasRestored(t *testing.T) {
	r := startTestFleet(t, 3)
	store := r.site.MetadataStore
	copied := store.Copy()
	r.site.Drain("orders-0")
	store.Remove("servers/orders-1")
	r.site.PublishConfiguration(5, nil)
	time.Sleep(time.Second)
	r.restoreStore(func() { store.Restore(copied) })
	since := time.Now()
	for end := since.Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, d := range r.fleet.Daemons {
			r.wantWhole(d, client.NewRequest("lookup"))
		}
	}
	for _, name := range []string{"orders-0", "orders-1"} {
		if got := len(r.arrivalsAt(name, since)); got > 0 {
			t.Errorf("%s, which had left, got %d requests", name, got)
		}
	}
	// Worker 0 goes on under the entry that it writes again.
	r.site.Restore("orders-0")
	time.Sleep(time.Second)
	back := time.Now()
	for range 30 {
		for _, d := range r.fleet.Daemons {
			r.wantWhole(d, client.NewRequest("lookup"))
		}
	}
	if len(r.arrivalsAt("orders-0", back)) == 0 {
		t.Error("orders-0 gets no requests, though it is listed again")
	}
	r.wantNoProblems()
}
