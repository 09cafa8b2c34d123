package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// eventKind names what an event does.
type eventKind string

// The events: a signal to a daemon (the first four), an outage, loss of history
// or link fault of the metadata store, a link fault between daemons, faults of a
// worker or its link, the draining of a worker, a new configuration, a restore of the store
// from a copy, a rate limit that a worker names, refusals with a time of rest, answers
// that say that their worker leaves, and a worker that becomes cold.
const (
	eventKill          eventKind = "kill"
	eventStop          eventKind = "stop"
	eventPause         eventKind = "pause"
	eventHangUp        eventKind = "hangUp"
	eventStoreDown     eventKind = "storeDown"
	eventStoreForgets  eventKind = "storeForgets"
	eventStoreLink     eventKind = "storeLink"
	eventPeerLink      eventKind = "peerLink"
	eventWorkerLink    eventKind = "workerLink"
	eventWorkerBroken  eventKind = "workerBroken"
	eventWorkerFull    eventKind = "workerFull"
	eventStreamsCut    eventKind = "streamsCut"
	eventDrain         eventKind = "drain"
	eventConfiguration eventKind = "configuration"
	eventStoreRestored eventKind = "storeRestored"
	eventWorkerLimited eventKind = "workerLimited"
	eventWorkerRests   eventKind = "workerRests"
	eventWorkerLeaves  eventKind = "workerLeaves"
	eventWorkerCold    eventKind = "workerCold"
)

// eventWeights gives the relative frequency of each kind.
var eventWeights = []struct {
	kind   eventKind
	weight int
}{
	{eventKill, 3}, {eventStop, 3}, {eventPause, 2}, {eventHangUp, 1}, {eventStoreDown, 2}, {eventStoreForgets, 1}, {eventStoreLink, 2},
	{eventPeerLink, 2}, {eventWorkerLink, 3}, {eventWorkerBroken, 2}, {eventWorkerFull, 1}, {eventStreamsCut, 2}, {eventDrain, 2}, {eventConfiguration, 4},
}

// event is a fault or a change that a run injects.
type event struct {
	// offset is the time from the start of the run.
	offset   time.Duration
	kind     eventKind
	duration time.Duration
	// target selects a daemon or a worker, modulo their number.
	target int
	// link is the state of the link during a link fault.
	link linkState
}

func (e event) String() string {
	return fmt.Sprintf("%v %s target=%d for=%v link=%d", e.offset, e.kind, e.target, e.duration, e.link)
}

const (
	// firstEventOffset is the time of the first event. The last one is over
	// calmPeriod before the end of a run, so that the daemons can recover.
	firstEventOffset = time.Second
	calmPeriod       = 5 * time.Second
	// maxBurstEvents limits the events of one kind that start within a burst.
	maxBurstEvents = 3
)

// newPlan draws the events of a run from its seed, in order of their offsets.
// They come in bursts of one kind and can overlap.
func newPlan(c Config) []event {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	var candidates []eventKind
	for _, k := range eventWeights {
		for range k.weight {
			candidates = append(candidates, k.kind)
		}
	}
	var plan []event
	eventsEnd := c.Duration - calmPeriod
	for burstStart := firstEventOffset; burstStart < eventsEnd; burstStart += time.Duration(300+random.IntN(1500)) * time.Millisecond {
		k := candidates[random.IntN(len(candidates))]
		for n := range 1 + random.IntN(maxBurstEvents) {
			e := event{
				offset:   burstStart + time.Duration(n*random.IntN(250))*time.Millisecond,
				kind:     k,
				duration: time.Duration(200+random.IntN(2500)) * time.Millisecond,
				target:   random.IntN(1 << 16),
				link:     linkDelayed + linkState(random.IntN(int(linkReset-linkDelayed)+1)),
			}
			if e.offset+e.duration > eventsEnd {
				e.duration = max(eventsEnd-e.offset, 0)
			}
			plan = append(plan, e)
		}
	}
	plan = append(plan, newLaterEvents(c, eventsEnd)...)
	slices.SortStableFunc(plan, func(x, y event) int { return int(x.offset - y.offset) })
	return plan
}

// newLaterEvents draws the kinds of events that were added later, from a sequence of their
// own, so that the others of a seed stay the same.
func newLaterEvents(c Config, eventsEnd time.Duration) []event {
	random := rand.New(rand.NewPCG(c.Seed, 1<<32))
	var events []event
	for _, k := range []eventKind{eventStoreRestored, eventWorkerLimited, eventWorkerRests, eventWorkerLeaves, eventWorkerCold} {
		for range 1 + random.IntN(2) {
			offset := firstEventOffset + time.Duration(random.Int64N(int64(max(eventsEnd-firstEventOffset, 1))))
			duration := min(time.Duration(200+random.IntN(2500))*time.Millisecond, max(eventsEnd-offset, 0))
			events = append(events, event{offset: offset, kind: k, duration: duration, target: random.IntN(1 << 16)})
		}
	}
	return events
}
