package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// fleetShape is the size of a fleet.
type fleetShape struct{ strong, weak, centres int }

// grownFleets are a grown site's fleet, three times its size, and one without strong instances.
var grownFleets = []fleetShape{{8, 69, 4}, {24, 209, 4}, {0, 300, 4}}

// wantVersionInTime makes a change in the store and checks that it is in force within changeBound
// at all instances but some.
func (d *changeDay) wantVersionInTime(except value.Set[ident.Instance]) {
	d.t.Helper()
	d.version++
	d.store.put(testRecord(d.t, "catalog", 0, testCatalog(d.version)))
	d.advance(changeBound)
	for _, name := range d.names {
		if g := d.gateways[name]; !except.Has(name) && g.Catalog().Version < d.version {
			d.t.Errorf("%s has version %d of %d %v after the change; its revision is %d of %d, it reads the store: %s", name, g.Catalog().Version, d.version, changeBound, g.AsOf(), d.store.revision, g.readingCause(d.timers.Now()))
			return
		}
	}
}

// A change reaches all instances in time though the store stops to answer the regular readers just
// before it: instances that wait for these longer, the larger the fleet, or that pass records on
// only with later pings, are late.
func TestChangeReachesAllWhenTheStoreLosesItsReaders(t *testing.T) {
	t.Parallel()
	for _, shape := range grownFleets {
		for _, c := range []struct {
			name  string
			state pathState
			after time.Duration
		}{{"calls time out", pathSilent, 0}, {"calls time out later in a watch", pathSilent, storeWatchWait / 2}, {"calls are reset", pathResetting, 0}, {"calls are reset later in a watch", pathResetting, storeWatchWait / 2}} {
			t.Run(fmt.Sprintf("%d instances, %s", shape.strong+shape.weak, c.name), func(t *testing.T) {
				t.Parallel()
				d := newChangeDay(t, shape.strong, shape.weak, shape.centres, 1)
				d.advance(c.after)
				readers := d.regularReaders()
				for name := range readers {
					d.store.paths[name] = c.state
					d.store.reset(name)
				}
				d.wantVersionInTime(readers)
			})
		}
	}
}

// One message with records is lost on the way to each instance; it gets them in time all the same.
func TestChangeReachesAllWithOneLossOnTheWay(t *testing.T) {
	t.Parallel()
	for _, shape := range grownFleets {
		t.Run(fmt.Sprintf("%d instances", shape.strong+shape.weak), func(t *testing.T) {
			t.Parallel()
			d := newChangeDay(t, shape.strong, shape.weak, shape.centres, 1)
			readers := d.regularReaders()
			for name := range readers {
				d.store.paths[name] = pathResetting
				d.store.reset(name)
			}
			lost := value.NewSet[ident.Instance]()
			d.loses = func(_, to ident.Instance, e message.Envelope) bool {
				if e.Records == nil || lost.Has(to) {
					return false
				}
				lost.Add(to)
				return true
			}
			d.wantVersionInTime(readers)
		})
	}
}
