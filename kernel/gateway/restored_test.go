package gateway

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
)

const (
	// restoreTime is how long the store is away while it is restored, rewriteTime the
	// time until endpoints have written their entries again.
	restoreTime = time.Second
	rewriteTime = 1500 * time.Millisecond
	// expiryTime is the time from then on until the entry of an endpoint that is gone
	// expires.
	expiryTime = 3 * time.Second
	// changeTime is the time within which a change is in force at instances in touch,
	// restartTime that in which a process is up again.
	changeTime  = 2 * time.Second
	restartTime = 700 * time.Millisecond
)

// storeCopy is a copy from which a store can be restored.
type storeCopy struct {
	records  map[string]replica.Record
	revision replica.Revision
}

func (s *testStore) copy() storeCopy {
	return storeCopy{records: maps.Clone(s.records), revision: s.revision}
}

// restore takes the store away and brings it back from a copy, in the next era.
func (s *testStore) restore(c storeCopy) {
	s.watches = nil
	for _, name := range s.fleet.names {
		s.paths[name] = pathResetting
		s.reset(name)
	}
	s.fleet.advance(restoreTime)
	for _, name := range s.fleet.names {
		s.paths[name] = pathOpen
	}
	inEra := func(r replica.Revision) replica.Revision {
		revision, err := replica.InEra(s.revision.Era()+1, r.Number())
		if err != nil {
			s.fleet.t.Fatal(err)
		}
		return revision
	}
	s.records = map[string]replica.Record{}
	for key, r := range c.records {
		if !r.Removed {
			r.Revision = inEra(r.Revision)
			s.records[key] = r
		}
	}
	s.revision = inEra(c.revision)
}

// restoredFleet is a fleet whose store is restored from a copy.
type restoredFleet struct {
	*testFleet
	store *testStore
	// versions holds the highest version that each process of an instance has had.
	versions map[*Gateway]int64
	// gone holds the endpoints that must not be used.
	gone []ident.Endpoint
}

func newRestoredFleet(t *testing.T, size int) *restoredFleet {
	f := &restoredFleet{testFleet: newIdleFleet(t), versions: map[*Gateway]int64{}}
	records := []replica.Record{testRecord(t, "catalog", 0, testCatalog(1))}
	for n := range 6 {
		l := testListing("orders", n)
		l.Sequence, l.StartedUnixMillis = 3, 1000
		records = append(records, testRecord(t, string(l.Name), 0, l))
	}
	f.store = newTestStore(f.testFleet, records)
	f.onStart = f.store.follow
	f.start(min(size, 6), max(size-6, 0), []ident.DataCentre{"east", "west", "north"})
	f.advance(5 * time.Second)
	f.timers.Every(50*time.Millisecond, f.check)
	return f
}

// configure publishes a version of the configuration.
func (f *restoredFleet) configure(version int64) {
	f.store.put(testRecord(f.t, "catalog", 0, testCatalog(version)))
}

// list publishes the listing of an endpoint.
func (f *restoredFleet) list(n int, sequence int64, leaving bool) {
	l := testListing("orders", n)
	l.Sequence, l.StartedUnixMillis, l.Leaving = sequence, 1000, leaving
	f.store.put(testRecord(f.t, string(l.Name), 0, l))
}

// check checks that no process goes back to an earlier version, nor uses an endpoint
// that has left.
func (f *restoredFleet) check() {
	for _, name := range f.names {
		g := f.gateways[name]
		if f.down[name] || g.Catalog() == nil {
			continue
		}
		if v := g.Catalog().Version; v < f.versions[g] {
			f.t.Fatalf("%s went back from version %d to %d", name, f.versions[g], v)
		}
		f.versions[g] = g.Catalog().Version
		for _, e := range g.directory.Candidates(f.timers.Now(), "orders", nil) {
			for _, gone := range f.gone {
				if e.Name == gone {
					f.t.Fatalf("%s uses %s, which has left", name, gone)
				}
			}
		}
	}
}

// wantEverywhere checks that all instances have a version of the configuration in force
// and use a number of endpoints.
func (f *restoredFleet) wantEverywhere(version int64, count int) {
	f.t.Helper()
	for _, name := range f.names {
		g := f.gateways[name]
		if f.down[name] {
			continue
		}
		if v := g.version(); v != version {
			f.t.Errorf("%s has version %d in force, want %d", name, v, version)
		}
		if got := len(g.directory.Candidates(f.timers.Now(), "orders", nil)); got != count {
			f.t.Errorf("%s uses %d endpoints, want %d", name, got, count)
		}
	}
}

// changeAndRestore makes changes, loses them in a restore, and has the endpoints write
// their entries again. Endpoint 0 leaves, 1 has left, and 6 is new. The entry of 1 in the
// copy expires later.
func (f *restoredFleet) changeAndRestore(whileAway func()) {
	copied := f.store.copy()
	f.configure(4)
	f.configure(7)
	f.list(0, 4, true)
	f.store.put(replica.Record{Key: "orders-1", Removed: true})
	f.list(6, 1, false)
	f.advance(changeTime)
	f.gone = []ident.Endpoint{"orders-0", "orders-1"}
	f.wantEverywhere(7, 5)
	f.timers.After(restoreTime/2, whileAway)
	f.store.restore(copied)
	f.advance(rewriteTime)
	f.list(0, 5, true)
	f.list(6, 2, false)
	f.timers.After(expiryTime, func() { f.store.put(replica.Record{Key: "orders-1", Removed: true}) })
}

// After a restore of the store, instances reject changes as old, or take back the
// configuration and the endpoints of the copy.
func TestStoreRestoredFromACopy(t *testing.T) {
	t.Parallel()
	for _, size := range []int{6, 66} {
		t.Run(fmt.Sprintf("the operator writes later, %d instances", size), func(t *testing.T) {
			f := newRestoredFleet(t, size)
			f.changeAndRestore(func() {})
			f.advance(changeTime)
			f.wantEverywhere(7, 5)
			f.configure(7)
			f.configure(9)
			f.advance(changeTime)
			f.wantEverywhere(9, 5)
		})
		t.Run(fmt.Sprintf("the revisions are passed by the new ones at once, %d instances", size), func(t *testing.T) {
			f := newRestoredFleet(t, size)
			copied := f.store.copy()
			f.configure(4)
			f.advance(changeTime)
			f.store.restore(copied)
			f.configure(4)
			f.configure(5)
			f.configure(6)
			f.advance(changeTime)
			f.wantEverywhere(6, 6)
		})
		t.Run(fmt.Sprintf("restored twice, %d instances", size), func(t *testing.T) {
			f := newRestoredFleet(t, size)
			copied := f.store.copy()
			f.changeAndRestore(func() {})
			f.store.restore(copied)
			f.advance(rewriteTime)
			f.list(0, 6, true)
			f.list(6, 3, false)
			f.configure(9)
			f.advance(changeTime)
			f.wantEverywhere(9, 5)
		})
		t.Run(fmt.Sprintf("instances start meanwhile, %d instances", size), func(t *testing.T) {
			f := newRestoredFleet(t, size)
			f.changeAndRestore(func() {
				for _, name := range f.names[1:4] {
					f.restart(name, restartTime, func() { f.store.follow(name) })
				}
			})
			f.advance(changeTime)
			f.wantEverywhere(7, 5)
			f.restart(f.names[0], restartTime, func() { f.store.follow(f.names[0]) })
			f.advance(restartTime + changeTime)
			f.wantEverywhere(7, 5)
		})
		t.Run(fmt.Sprintf("a data centre is cut off meanwhile, %d instances", size), func(t *testing.T) {
			f := newRestoredFleet(t, size)
			f.changeAndRestore(func() {
				f.cutOff = "west"
				for _, name := range f.names {
					if f.centreOf(name) == "west" {
						f.store.paths[name] = pathSilent
					}
				}
			})
			for _, name := range f.names {
				if f.centreOf(name) == "west" {
					f.store.paths[name] = pathSilent
				}
			}
			f.advance(5 * time.Second)
			f.configure(9)
			f.cutOff = ""
			clear(f.store.paths)
			f.advance(changeTime + time.Second)
			f.wantEverywhere(9, 5)
		})
	}
}

// An endpoint that lives, but whose entry was removed before the restore and never
// changes again, is not used any more.
func TestListedEndpointIsUsedAgainAfterARestore(t *testing.T) {
	f := newRestoredFleet(t, 6)
	copied := f.store.copy()
	f.store.put(replica.Record{Key: "orders-1", Removed: true})
	f.configure(4)
	f.advance(changeTime)
	f.store.restore(copied)
	f.advance(rewriteTime)
	f.wantEverywhere(4, 5)
	f.advance(outdatedListingTime)
	f.wantEverywhere(4, 6)
}
