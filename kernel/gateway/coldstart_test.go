package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
)

// manyRecords returns a configuration and the listings of as many endpoints as a
// large deployment has. The configuration is the newest record.
func manyRecords(t *testing.T) []replica.Record {
	var records []replica.Record
	for n := range 383 {
		l := testListing("models", n)
		records = append(records, testRecord(t, string(l.Name), replica.Revision(len(records)+1), l))
	}
	l := testListing("orders", 0)
	records = append(records, testRecord(t, string(l.Name), replica.Revision(len(records)+1), l))
	return append(records, testRecord(t, "catalog", replica.Revision(len(records)+1), testCatalog(1)))
}

// wantConfigured checks that all instances are ready.
func (f *testFleet) wantConfigured() {
	f.t.Helper()
	for _, name := range f.names {
		if !f.gateways[name].Ready() {
			f.t.Fatalf("%s is not ready", name)
		}
	}
}

// The calls to the platform must not grow with the fleet. Instances that start
// among others get the records from them.
func TestListingsOfStartingInstances(t *testing.T) {
	t.Parallel()
	centres := []ident.DataCentre{"east", "west", "north", "south", "middle"}
	start := func(t *testing.T, strong, weak int) (*testFleet, *testStore) {
		f := newIdleFleet(t)
		store := newTestStore(f, manyRecords(t))
		f.onStart = store.follow
		f.start(strong, weak, centres)
		f.advance(4 * time.Second)
		return f, store
	}
	t.Run("all at once", func(t *testing.T) {
		f, store := start(t, 10, 190)
		f.wantConfigured()
		t.Logf("%d of %d instances listed the platform", store.lists, len(f.names))
		if store.lists > len(f.names)/4 {
			t.Errorf("%d of %d instances listed the platform, want a quarter at most", store.lists, len(f.names))
		}
	})
	t.Run("one after the other", func(t *testing.T) {
		f, store := start(t, 10, 50)
		store.lists = 0
		for n, name := range f.names[10:40] {
			m := f.gateways[name].config.Self
			m.Incarnation++
			f.gateways[name].BeginShutdown()
			f.advance(200 * time.Millisecond)
			f.gateways[name] = f.newGateway(m, uint64(1000+n))
			store.follow(name)
		}
		f.advance(3 * time.Second)
		f.wantConfigured()
		t.Logf("%d of 30 restarted instances listed the platform", store.lists)
		if store.lists > 3 {
			t.Errorf("%d of 30 restarted instances listed the platform, want 3 at most", store.lists)
		}
	})
}
