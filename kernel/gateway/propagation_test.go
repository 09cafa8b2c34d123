package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

var (
	firstChangeSeed = flag.Uint64("changeSeed", 4, "first seed of the days of TestChangesReachAllInstances")
	changeDays      = flag.Int("changeDays", 2, "number of days of TestChangesReachAllInstances for each fleet")
)

const (
	// changeBound is the time from the store's acknowledgement of a change
	// within which it is in force at all instances in touch, on the users' grown
	// deployments; contactTime the time after which an instance is in touch again.
	changeBound = 3 * time.Second
	contactTime = 4 * time.Second
	// stopTime is how long a planned stop takes.
	stopTime = 7 * time.Second
	// changesUntil is the time from the start of a day's disruptions at which the
	// last change is made, dayLength that at which the day ends.
	changesUntil = 20 * time.Second
	dayLength    = 25 * time.Second
)

// change is a change in the store: a new version of the configuration, or the
// removal of an endpoint.
type change struct {
	at      time.Time
	version int64
	removed ident.Endpoint
	// unstable is set if the store refused some instance at that time or less than
	// contactTime before.
	unstable bool
}

// inForce reports whether an instance follows the change.
func (c change) inForce(g *Gateway) bool {
	if c.removed != "" {
		return g.directory.Lookup(c.removed) == nil
	}
	return g.Catalog() != nil && g.Catalog().Version >= c.version
}

// cut separates instances from others.
type cut struct {
	inside value.Set[ident.Instance]
	state  pathState
	// apart is set if the instances inside are also cut off from each other.
	apart bool
}

// changeDay is a day of a fleet with changes in the store and random
// disruptions.
type changeDay struct {
	*testFleet
	store   *testStore
	random  *rand.Rand
	centres []ident.DataCentre
	begin   time.Time
	cuts    []*cut
	// refusals counts the disruptions of each instance's path to the store.
	refusals map[ident.Instance]int
	// disturbedAt is when each instance was last disturbed. storeDownUntil is the
	// end of the last time in which the store refused all instances, and
	// storeUnstableUntil that in which it refused any.
	disturbedAt        map[ident.Instance]time.Time
	storeDownUntil     time.Time
	storeUnstableUntil time.Time
	changes            []change
	version            int64
	removals           int
	events             []string
	// kinds holds the disruptions that the day draws from.
	kinds []disruption
	// latest is the longest time that a change took, for configurations and for
	// removals.
	latest, latestRemoval time.Duration
}

// newChangeDay starts a fleet and lets it settle.
func newChangeDay(t *testing.T, strong, weak, centreCount int, seed uint64) *changeDay {
	t.Helper()
	d := &changeDay{testFleet: newIdleFleet(t), random: rand.New(rand.NewPCG(seed, 99)), centres: []ident.DataCentre{"east", "west", "north", "south", "middle"}[:centreCount], version: 1, kinds: disruptions, refusals: map[ident.Instance]int{}, disturbedAt: map[ident.Instance]time.Time{}}
	var records []replica.Record
	for _, s := range []ident.Service{"orders", "models", "registry", "planning"} {
		for n := range 30 {
			l := testListing(s, n)
			records = append(records, testRecord(t, string(l.Name), 0, l))
		}
	}
	d.store = newTestStore(d.testFleet, append(records, testRecord(t, "catalog", 0, testCatalog(d.version))))
	d.onStart = d.store.follow
	d.path = d.pathBetween
	d.start(strong, weak, d.centres)
	d.advance(6 * time.Second)
	d.wantConfigured()
	d.begin = d.timers.Now()
	return d
}

func (d *changeDay) pathBetween(from, to ident.Instance) pathState {
	for _, c := range d.cuts {
		if c.inside.Has(from) != c.inside.Has(to) || c.apart && c.inside.Has(from) {
			return c.state
		}
	}
	return pathOpen
}

func (d *changeDay) log(format string, args ...any) {
	d.events = append(d.events, fmt.Sprintf("%6.3f s ", d.timers.Now().Sub(d.begin).Seconds())+fmt.Sprintf(format, args...))
}

// draw returns a share of the instances.
func (d *changeDay) draw(share float64) value.Set[ident.Instance] {
	drawn := value.NewSet[ident.Instance]()
	for _, i := range d.random.Perm(len(d.names))[:int(share*float64(len(d.names)))] {
		drawn.Add(d.names[i])
	}
	return drawn
}

func (d *changeDay) drawMillis(least, span int) time.Duration {
	return time.Duration(least+d.random.IntN(span)) * time.Millisecond
}

func (d *changeDay) drawState() pathState {
	return []pathState{pathSilent, pathResetting}[d.random.IntN(2)]
}

// regularReaders returns the readers of the platform in the view of an instance
// that is up.
func (d *changeDay) regularReaders() value.Set[ident.Instance] {
	for _, name := range d.names {
		if !d.down[name] {
			return d.gateways[name].platformReaders(d.timers.Now())
		}
	}
	return value.NewSet[ident.Instance]()
}

func (d *changeDay) kill(names value.Set[ident.Instance]) {
	for _, name := range names.Sorted() {
		d.restart(name, d.drawMillis(500, 3000), func() {
			d.disturbedAt[name] = d.timers.Now()
			d.store.follow(name)
		})
	}
}

func (d *changeDay) cutOff(inside value.Set[ident.Instance], apart bool) {
	c := &cut{inside: inside, state: d.drawState(), apart: apart}
	d.cuts = append(d.cuts, c)
	d.timers.After(d.drawMillis(1500, 7000), func() {
		d.cuts = slices.DeleteFunc(d.cuts, func(o *cut) bool { return o == c })
	})
}

// refuse lets the store be out of reach for some instances.
func (d *changeDay) refuse(names value.Set[ident.Instance]) time.Duration {
	state, length := d.drawState(), d.drawMillis(1500, 7000)
	if end := d.timers.Now().Add(length); end.After(d.storeUnstableUntil) {
		d.storeUnstableUntil = end
	}
	for _, name := range names.Sorted() {
		d.refusals[name]++
		d.store.paths[name] = state
		d.store.reset(name)
	}
	d.timers.After(length, func() {
		for _, name := range names.Sorted() {
			if d.refusals[name]--; d.refusals[name] == 0 {
				d.store.paths[name] = pathOpen
				d.disturbedAt[name] = d.timers.Now()
			}
		}
	})
	return length
}

// disruption is a kind of disruption.
type disruption struct {
	name  string
	begin func(*changeDay)
}

// disruptions are the kinds that a day draws from unless it says otherwise.
var disruptions = []disruption{
	{"many processes are killed", func(d *changeDay) { d.kill(d.draw(0.55)) }},
	{"all readers are killed", func(d *changeDay) { d.kill(d.regularReaders()) }},
	{"a share is cut off from the others", func(d *changeDay) { d.cutOff(d.draw(0.3), false) }},
	{"single instances are cut off", func(d *changeDay) { d.cutOff(d.draw(0.17), true) }},
	{"all readers are cut off from the instances", func(d *changeDay) { d.cutOff(d.regularReaders(), true) }},
	{"a data centre is cut off", func(d *changeDay) {
		centre := d.centres[d.random.IntN(len(d.centres))]
		inside := value.NewSet[ident.Instance]()
		for _, name := range d.names {
			if d.centreOf(name) == centre {
				inside.Add(name)
			}
		}
		d.cutOff(inside, false)
	}},
	{"the store refuses a share", func(d *changeDay) { d.refuse(d.draw(0.35)) }},
	{"a reader is cut off from all", func(d *changeDay) {
		readers := d.regularReaders().Sorted()
		reader := value.NewSet(readers[d.random.IntN(len(readers))])
		d.refuse(reader)
		d.cutOff(reader, true)
	}},
	{"connections to the store are reset", func(d *changeDay) {
		for _, name := range d.draw(0.35).Sorted() {
			d.disturbedAt[name] = d.timers.Now()
			d.store.reset(name)
		}
	}},
	{"connections to the store go silent", func(d *changeDay) {
		for _, name := range d.names {
			d.disturbedAt[name] = d.timers.Now()
			d.store.staleConnections.Add(name)
		}
	}},
	{"the store is down", func(d *changeDay) {
		length := d.refuse(value.NewSet(d.names...))
		d.storeDownUntil = d.timers.Now().Add(length)
	}},
	{"instances are stopped one after the other", func(d *changeDay) {
		for i, name := range d.draw(0.5).Sorted() {
			d.timers.After(time.Duration(i)*200*time.Millisecond, func() { d.stop(name) })
		}
	}},
}

// stop stops an instance as planned.
func (d *changeDay) stop(name ident.Instance) {
	g := d.gateways[name]
	if d.down[name] || g.shuttingDown {
		return
	}
	d.disturbedAt[name] = d.timers.Now()
	g.BeginShutdown()
	d.timers.After(stopTime, func() {
		if d.gateways[name] == g {
			d.kill(value.NewSet(name))
		}
	})
}

// change makes a change in the store.
func (d *changeDay) change() {
	d.version++
	d.store.put(testRecord(d.t, "catalog", 0, testCatalog(d.version)))
	d.changes = append(d.changes, change{at: d.timers.Now(), version: d.version})
	if d.random.IntN(2) == 0 {
		e := testListing([]ident.Service{"models", "registry"}[d.removals%2], d.removals/2).Name
		d.removals++
		d.store.put(replica.Record{Key: string(e), Removed: true})
		d.changes = append(d.changes, change{at: d.timers.Now(), removed: e, unstable: d.timers.Now().Before(d.storeUnstableUntil.Add(contactTime))})
	}
}

// inTouch reports whether changes have to be in force at an instance within
// changeBound. For removals the store must have served all instances for
// contactTime, for configurations any of them.
func (d *changeDay) inTouch(name ident.Instance, c change) bool {
	now := d.timers.Now()
	storeDisturbedUntil := d.storeDownUntil
	if c.removed != "" {
		storeDisturbedUntil = d.storeUnstableUntil
	}
	return !d.down[name] && d.refusals[name] == 0 && now.Sub(d.disturbedAt[name]) >= contactTime && now.Sub(storeDisturbedUntil) >= contactTime
}

// since returns the time from which changeBound counts. An unstable store acknowledges
// no removal, so that one counts from when instances are in touch again.
func (d *changeDay) since(c change) time.Time {
	if stableAt := d.storeUnstableUntil.Add(contactTime); c.unstable && stableAt.After(c.at) {
		return stableAt
	}
	return c.at
}

// check records how long changes have not been in force at instances in touch.
func (d *changeDay) check() {
	for _, name := range d.names {
		for _, c := range d.changes {
			age := d.timers.Now().Sub(d.since(c))
			longest := &d.latest
			if c.removed != "" {
				longest = &d.latestRemoval
			}
			if age <= *longest || !d.inTouch(name, c) || c.inForce(d.gateways[name]) {
				continue
			}
			if age > changeBound && *longest <= changeBound {
				g := d.gateways[name]
				d.log("%s lacks version %d or the removal of %q for %v; its revision is %d of %d, it reads the store: %s", name, c.version, c.removed, age, g.AsOf(), d.store.revision, g.readingCause(d.timers.Now()))
			}
			*longest = age
		}
	}
}

// run plays the day.
func (d *changeDay) run() {
	nextChange, nextDisruption := d.begin, d.begin.Add(d.drawMillis(0, 3000))
	for now := d.begin; now.Sub(d.begin) < dayLength; now = d.timers.Now() {
		if !now.Before(nextChange) && now.Sub(d.begin) < changesUntil {
			d.change()
			nextChange = now.Add(d.drawMillis(300, 1200))
		}
		if !now.Before(nextDisruption) && now.Sub(d.begin) < changesUntil {
			kind := d.kinds[d.random.IntN(len(d.kinds))]
			d.log("%s", kind.name)
			kind.begin(d)
			nextDisruption = now.Add(d.drawMillis(500, 5000))
		}
		d.advance(50 * time.Millisecond)
		d.check()
	}
}

// runAndCheck plays the day and checks that no change took longer than changeBound.
func (d *changeDay) runAndCheck() {
	d.t.Helper()
	d.run()
	d.t.Logf("longest times: a configuration %v, a removal %v", d.latest, d.latestRemoval)
	if max(d.latest, d.latestRemoval) > changeBound {
		for _, e := range d.events {
			d.t.Log(e)
		}
		d.t.Errorf("a change took longer than %v", changeBound)
	}
}

// Changes of the configuration and removals of endpoints reach every instance in
// touch in time, whatever restarts, cuts and outages come at once.
func TestChangesReachAllInstances(t *testing.T) {
	t.Parallel()
	for _, fleet := range []struct{ strong, weak, centres int }{{6, 60, 3}, {8, 72, 5}} {
		for i := range *changeDays {
			seed := *firstChangeSeed + uint64(i)
			t.Run(fmt.Sprintf("%d instances, seed %d", fleet.strong+fleet.weak, seed), func(t *testing.T) {
				t.Parallel()
				d := newChangeDay(t, fleet.strong, fleet.weak, fleet.centres, seed)
				d.runAndCheck()
			})
		}
	}
}

// A removal that a reader could not see, since it came before its first list,
// reaches the members that still have the endpoint.
func TestRemovalBeforeAListReachesMembers(t *testing.T) {
	f := newIdleFleet(t)
	f.start(2, 0, []ident.DataCentre{"east"})
	var records []replica.Record
	for n := range 3 {
		l := testListing("models", n)
		records = append(records, testRecord(t, string(l.Name), replica.Revision(n+1), l))
	}
	records = append(records, testRecord(t, "catalog", 4, testCatalog(1)))
	f.gateways["strong-000"].HandleFullList(records, 4)
	f.gateways["strong-001"].HandleFullList(records[1:], 5)
	f.advance(2 * time.Second)
	g := f.gateways["strong-000"]
	if e := g.directory.Lookup("models-0"); e != nil || g.AsOf() != 5 {
		t.Fatalf("at revision %d of 5, the removed endpoint is still known: %v", g.AsOf(), e != nil)
	}
}
