package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
)

const (
	// followerPeriod is the interval at which an instance checks whether it reads
	// the platform, listTime the time of a full listing.
	followerPeriod = 100 * time.Millisecond
	listTime       = 20 * time.Millisecond
	// watchTime is the time of a watch without changes.
	watchTime = 900 * time.Millisecond
)

// follow lets an instance read the platform whenever its gateway wants to. It
// counts the full listings.
func (f *testFleet) follow(name ident.Instance, records []replica.Record, listings *int) {
	g := f.gateways[name]
	listed, listing := false, false
	f.timers.Every(followerPeriod, func() {
		if f.gateways[name] != g || listing || !g.ReadsPlatform() {
			return
		}
		listing = true
		if listed {
			f.timers.After(watchTime, func() {
				listing = false
				g.HandleChanges(nil, replica.Revision(len(records)))
			})
			return
		}
		*listings++
		f.timers.After(listTime, func() {
			listed, listing = true, false
			g.HandleFullList(records, replica.Revision(len(records)))
		})
	})
}

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
	centres := []ident.DataCentre{"east", "west", "north", "south", "middle"}
	t.Run("all at once", func(t *testing.T) {
		f := newIdleFleet(t)
		records, listings := manyRecords(t), 0
		f.onStart = func(name ident.Instance) { f.follow(name, records, &listings) }
		f.start(10, 190, centres)
		f.advance(4 * time.Second)
		f.wantConfigured()
		t.Logf("%d of %d instances listed the platform", listings, len(f.names))
		if listings > len(f.names)/4 {
			t.Errorf("%d of %d instances listed the platform, want a quarter at most", listings, len(f.names))
		}
	})
	t.Run("one after the other", func(t *testing.T) {
		f := newIdleFleet(t)
		records, listings := manyRecords(t), 0
		f.onStart = func(name ident.Instance) { f.follow(name, records, &listings) }
		f.start(10, 50, centres)
		f.advance(4 * time.Second)
		listings = 0
		for n, name := range f.names[10:40] {
			m := f.gateways[name].config.Self
			m.Incarnation++
			f.gateways[name].BeginShutdown()
			f.advance(200 * time.Millisecond)
			f.gateways[name] = f.newGateway(m, uint64(1000+n))
			f.follow(name, records, &listings)
		}
		f.advance(3 * time.Second)
		f.wantConfigured()
		t.Logf("%d of 30 restarted instances listed the platform", listings)
		if listings > 3 {
			t.Errorf("%d of 30 restarted instances listed the platform, want 3 at most", listings)
		}
	})
}
