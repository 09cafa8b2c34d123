package gateway

import (
	"fmt"
	"slices"
	"testing"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// slow lets messages and the store's replies of some instances take longer.
func (d *changeDay) slow(names value.Set[ident.Instance]) {
	by := d.drawMillis(100, 1400)
	for _, name := range names.Sorted() {
		d.slowness[name] += by
		d.refusals[name]++
	}
	d.timers.After(d.drawMillis(2000, 4000), func() {
		for _, name := range names.Sorted() {
			d.slowness[name] -= by
			if d.refusals[name]--; d.refusals[name] == 0 {
				d.disturbedAt[name] = d.timers.Now()
			}
		}
	})
}

// slowDisruptions are those in which instances or the store answer late, or all lose power.
var slowDisruptions = []disruption{
	{"all lose power", func(d *changeDay) { d.kill(value.NewSet(d.names...)) }},
	{"the store answers late", func(d *changeDay) {
		by, length := d.drawMillis(100, 1300), d.drawMillis(1500, 3500)
		d.store.slowness += by
		d.storeDownUntil = d.timers.Now().Add(length)
		d.storeUnstableUntil = d.storeDownUntil
		d.timers.After(length, func() { d.store.slowness -= by })
	}},
	{"all readers are slow", func(d *changeDay) { d.slow(d.regularReaders()) }},
	{"a reader is slow, and the store refuses the others", func(d *changeDay) {
		readers := d.regularReaders().Sorted()
		slow := d.random.IntN(len(readers))
		d.slow(value.NewSet(readers[slow]))
		d.refuse(value.NewSet(slices.Delete(readers, slow, slow+1)...))
	}},
	{"a share is slow", func(d *changeDay) { d.slow(d.draw(0.2)) }},
}

// Changes reach every instance in touch in time though readers that are alive and believed pass
// them on late, the store answers late, or all instances lose power.
func TestChangesReachAllInstancesBesideSlowOnes(t *testing.T) {
	t.Parallel()
	for _, shape := range grownFleets[:2] {
		for i := range *changeDays {
			seed := *firstChangeSeed + uint64(i)
			t.Run(fmt.Sprintf("%d instances, seed %d", shape.strong+shape.weak, seed), func(t *testing.T) {
				t.Parallel()
				d := newChangeDay(t, shape.strong, shape.weak, shape.centres, seed)
				d.kinds = slowDisruptions
				d.runAndCheck()
			})
		}
	}
}
